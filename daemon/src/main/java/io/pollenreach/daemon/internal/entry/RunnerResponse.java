package io.pollenreach.daemon.internal.entry;

import io.pollenreach.internal.wire.Executed;

/**
 * A runner's whole response to a request.
 *
 * <p>Immutable by convention: nobody changes the body.
 *
 * @param requestId the request that the runner answered
 * @param status the runner's HTTP status
 * @param contentType the media type
 * @param body the whole body
 * @param runner the target that answered
 */
record RunnerResponse(String requestId, int status, String contentType, byte[] body, String runner) {
    static RunnerResponse of(Executed e, String runner) {
        return new RunnerResponse(e.requestId(), e.status(), e.contentType(), e.body(), runner);
    }
}
