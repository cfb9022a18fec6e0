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
 */
public record Execute(
        String requestId,
        String workspace,
        boolean idempotent,
        String method,
        String path,
        String contentType,
        byte[] body,
        long deadlineMs)
        implements Message {}
