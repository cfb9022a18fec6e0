package io.pollenreach.daemon.internal.http;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.pollenreach.PollenreachException;

/**
 * An answer to a call.
 *
 * <p>Immutable by convention: nobody changes the body.
 *
 * @param status the HTTP status
 * @param body a JSON text; empty for none
 * @param headers further headers
 */
public record HttpServerResponse(int status, byte[] body, Map<String, String> headers) {
    private static final byte[] EMPTY = {};

    /** Returns an answer without a body. */
    public static HttpServerResponse of(int status) {
        return new HttpServerResponse(status, EMPTY, Map.of());
    }

    /** Returns an answer with a JSON body. */
    public static HttpServerResponse of(int status, JsonNode body) {
        return new HttpServerResponse(status, body.toString().getBytes(StandardCharsets.UTF_8), Map.of());
    }

    /** Returns an answer that tells a failure, under the status of its result code. */
    public static HttpServerResponse failure(PollenreachException e) {
        return failure(e.code().httpStatus(), e);
    }

    /** Returns an answer that tells a failure under a status. */
    public static HttpServerResponse failure(int status, PollenreachException e) {
        return of(
                status,
                JsonNodeFactory.instance
                        .objectNode()
                        .put("code", e.code().number())
                        .put("error", String.valueOf(e.getMessage())));
    }

    /** Returns the same answer with one more header. */
    public HttpServerResponse with(String header, String value) {
        Map<String, String> all = new HashMap<>(headers);
        all.put(header, value);
        return new HttpServerResponse(status, body, all);
    }
}
