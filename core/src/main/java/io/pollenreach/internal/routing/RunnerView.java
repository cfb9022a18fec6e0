package io.pollenreach.internal.routing;

/**
 * A runner as routing sees it.
 *
 * <p>Immutable.
 *
 * @param id the target id
 * @param zone the availability zone
 * @param address where its agent listens, as {@code ip:port}
 * @param slots requests that it serves at once
 * @param inUse requests in its slots when it last reported
 * @param queued requests that waited at its agent when it last reported
 * @param sentSince requests that this entry has in flight there
 * @param meanServiceMs smoothed service time in milliseconds
 * @param recentFailures failed requests lately
 * @param usable whether it may take new requests: alive, not draining, not set aside
 */
public record RunnerView(
        String id,
        String zone,
        String address,
        int slots,
        int inUse,
        int queued,
        int sentSince,
        double meanServiceMs,
        int recentFailures,
        boolean usable) {}
