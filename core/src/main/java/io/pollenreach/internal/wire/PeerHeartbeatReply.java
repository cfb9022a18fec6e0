package io.pollenreach.internal.wire;

/**
 * Answers a peer heartbeat with the receiver's own view.
 *
 * <p>Direction: entry to entry. Immutable.
 *
 * @param mine what the receiver would have sent
 */
public record PeerHeartbeatReply(PeerHeartbeat mine) implements Message {}
