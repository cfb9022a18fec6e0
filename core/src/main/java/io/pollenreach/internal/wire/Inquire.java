package io.pollenreach.internal.wire;

/**
 * Asks what became of a request.
 *
 * <p>Direction: entry to agent. Immutable.
 *
 * @param requestId the request
 * @param workspace the workspace
 */
public record Inquire(String requestId, String workspace) implements Message {}
