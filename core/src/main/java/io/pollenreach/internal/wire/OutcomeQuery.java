package io.pollenreach.internal.wire;

/**
 * Asks what became of a request.
 *
 * <p>Direction: entry to agent. Immutable.
 *
 * @param requestId the request
 * @param workspace the workspace
 * @param targetIncarnation the incarnation of the agent that the claim names, and 0 for any; an agent of another
 *     incarnation answers {@link Outcome#UNKNOWN}
 */
public record OutcomeQuery(String requestId, String workspace, long targetIncarnation) implements Message {
    /** Creates a question that any incarnation of the agent may answer. */
    public OutcomeQuery(String requestId, String workspace) {
        this(requestId, workspace, 0);
    }
}
