package io.pollenreach.bench.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenreach.internal.json.Json;

/**
 * What a request asks of a runner.
 *
 * <p>Immutable.
 *
 * @param workMs how long it takes, in milliseconds
 * @param echo the text to answer with
 */
record Work(long workMs, String echo) {
    /** Reads {@code {"workMs": N, "echo": "..."}}; any other body takes no time and is echoed whole. */
    static Work parse(byte[] body) {
        try {
            JsonNode node = Json.lenient().readTree(body);
            if (node != null && node.isObject()) {
                return new Work(node.path("workMs").asLong(0), node.path("echo").asText(""));
            }
        } catch (IOException e) {
            // Not JSON: echoed as it is.
        }
        return new Work(0, new String(body, StandardCharsets.UTF_8));
    }
}
