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
public record HttpAnswer(int status, byte[] body, Map<String, String> headers) {
    private static final byte[] EMPTY = {};

    /** Returns an answer without a body. */
    public static HttpAnswer of(int status) {
        return new HttpAnswer(status, EMPTY, Map.of());
    }

    /** Returns an answer with a JSON body. */
    public static HttpAnswer of(int status, JsonNode body) {
        return new HttpAnswer(status, body.toString().getBytes(StandardCharsets.UTF_8), Map.of());
    }

    /** Returns an answer that tells a failure, under the status of its result code. */
    public static HttpAnswer failure(PollenreachException e) {
        return failure(e.code().httpStatus(), e);
    }

    /** Returns an answer that tells a failure under a status. */
    public static HttpAnswer failure(int status, PollenreachException e) {
        return of(
                status,
                JsonNodeFactory.instance
                        .objectNode()
                        .put("code", e.code().number())
                        .put("error", String.valueOf(e.getMessage())));
    }

    /** Returns the same answer with one more header. */
    public HttpAnswer with(String header, String value) {
        Map<String, String> all = new HashMap<>(headers);
        all.put(header, value);
        return new HttpAnswer(status, body, all);
    }
}
