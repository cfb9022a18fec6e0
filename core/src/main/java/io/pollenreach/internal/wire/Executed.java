package io.pollenreach.internal.wire;

/**
 * Tells what became of a request.
 *
 * <p>Direction: agent to entry. Immutable.
 *
 * @param requestId the request that this answers
 * @param workspace the workspace
 * @param outcome what became of it
 * @param status the runner's HTTP status, 0 without an answer
 * @param contentType the media type of the answer
 * @param body the whole answer; empty without one
 * @param detail text for people
 */
public record Executed(
        String requestId, String workspace, Outcome outcome, int status, String contentType, byte[] body, String detail)
        implements Message {}
