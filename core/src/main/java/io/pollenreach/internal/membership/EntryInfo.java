package io.pollenreach.internal.membership;

/**
 * One entry as its peers know it.
 *
 * <p>Immutable.
 *
 * @param address where it listens, as {@code ip:port}
 * @param zone its availability zone
 * @param incarnation grows with each start
 * @param draining whether it is shutting down
 * @param lastHeardMs when it was last heard, by the monotonic clock
 */
public record EntryInfo(String address, String zone, long incarnation, boolean draining, long lastHeardMs) {}
