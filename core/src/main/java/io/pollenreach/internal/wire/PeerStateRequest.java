package io.pollenreach.internal.wire;

/**
 * Asks a peer for the configuration in force and its tombstones, by a process that starts.
 *
 * <p>Direction: entry to entry. Immutable.
 *
 * @param from the sender's address
 */
public record PeerStateRequest(String from) implements Message {}
