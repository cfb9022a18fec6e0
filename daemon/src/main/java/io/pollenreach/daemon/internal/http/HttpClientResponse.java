package io.pollenreach.daemon.internal.http;

/**
 * The whole answer to an HTTP call.
 *
 * <p>Immutable by convention: nobody changes the body.
 *
 * @param status the HTTP status
 * @param contentType the media type; empty when none was sent
 * @param body the whole body
 * @param requestId the value of the header {@code X-Request-Id}; empty when none was sent
 * @param resultCode the value of the header {@code Pollenreach-Code}; empty when none was sent
 */
public record HttpClientResponse(int status, String contentType, byte[] body, String requestId, String resultCode) {
    /** Creates an answer without a result code. */
    public HttpClientResponse(int status, String contentType, byte[] body, String requestId) {
        this(status, contentType, body, requestId, "");
    }
}
