package io.pollenreach.daemon.internal.entry;

import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.internal.json.Json;
import ratpack.handling.Context;

/**
 * A whole answer of the resource API.
 *
 * <p>Immutable by convention: nobody changes the body.
 *
 * @param status the HTTP status
 * @param contentType the media type
 * @param body the body
 * @param headers further headers
 */
record Reply(int status, String contentType, byte[] body, Map<String, String> headers) {
    private static final String JSON = "application/json";
    static final String CODE_HEADER = "Pollenreach-Code";

    static Reply json(JsonNode node) {
        return json(200, node);
    }

    private static Reply json(int status, JsonNode node) {
        try {
            return new Reply(status, JSON, Json.lenient().writeValueAsBytes(node), Map.of());
        } catch (JsonProcessingException e) {
            throw new PollenreachException(ResultCode.INTERNAL, null, e.getMessage(), e);
        }
    }

    static Reply text(int status, String text) {
        return new Reply(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8), Map.of());
    }

    static Reply of(RunnerResponse a) {
        Map<String, String> headers =
                Map.of(CODE_HEADER, "0", "Request-Id", a.requestId(), "Pollenreach-Runner", a.runner());
        String type =
                a.contentType() == null || a.contentType().isEmpty() ? "application/octet-stream" : a.contentType();
        return new Reply(a.status(), type, a.body(), headers);
    }

    static Reply failure(Throwable t) {
        PollenreachException e = PollenreachException.of(t);
        ResultCode code = e.code();
        ObjectNode node = Json.lenient().createObjectNode();
        node.put("code", code.number());
        node.put("name", code.name());
        node.put("sentence", code.sentence());
        node.put("field", e.field().orElse(null));
        node.put("detail", e.getMessage());
        // The sentences of jobs' ends have status 200; as the failure of a call they are the caller's fault.
        int status = code.httpStatus() == 200 ? 409 : code.httpStatus();
        Reply plain = json(status, node);
        return new Reply(status, JSON, plain.body(), Map.of(CODE_HEADER, Integer.toString(code.number())));
    }

    void send(Context ctx) {
        ctx.getResponse().status(status);
        headers.forEach((k, v) -> ctx.getResponse().getHeaders().set(k, v));
        ctx.getResponse().send(contentType, body);
    }
}
