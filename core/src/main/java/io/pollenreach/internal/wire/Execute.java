package io.pollenreach.internal.wire;

/**
 * Asks a runner's agent to serve a request.
 *
 * <p>Direction: entry to agent. Immutable.
 *
 * @param requestId the caller's id, unique within the workspace
 * @param workspace the workspace
 * @param idempotent whether it may run more than once
 * @param method the HTTP method
 * @param path the path at the runner
 * @param contentType the body's media type
 * @param body the request body
 * @param deadlineMs milliseconds that are left until the caller gives up
 * @param targetIncarnation the incarnation of the agent that the claim names, and 0 for an idempotent request; an agent
 *     of another incarnation runs nothing and answers {@link Outcome#UNKNOWN}
 */
public record Execute(
        String requestId,
        String workspace,
        boolean idempotent,
        String method,
        String path,
        String contentType,
        byte[] body,
        long deadlineMs,
        long targetIncarnation)
        implements Message {
    /** Creates a request that any incarnation of the agent may run. */
    public Execute(
            String requestId,
            String workspace,
            boolean idempotent,
            String method,
            String path,
            String contentType,
            byte[] body,
            long deadlineMs) {
        this(requestId, workspace, idempotent, method, path, contentType, body, deadlineMs, 0);
    }
}
