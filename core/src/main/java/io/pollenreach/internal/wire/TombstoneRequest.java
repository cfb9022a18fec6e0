package io.pollenreach.internal.wire;

/**
 * Asks a peer never to start a request.
 *
 * <p>Direction: entry to entry. Immutable.
 *
 * @param requestId the request
 * @param workspace the workspace
 */
public record TombstoneRequest(String requestId, String workspace) implements Message {}
