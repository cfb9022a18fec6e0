package io.pollenreach.systemtest;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.daemon.internal.http.HttpCaller;
import io.pollenreach.daemon.internal.http.HttpClientResponse;
import io.pollenreach.internal.json.Json;

/**
 * Calls the resource API of entries as operators and callers do, and notes what callers saw.
 *
 * <p>Safe for use by many threads.
 */
final class Api implements AutoCloseable {
    static final String OPERATOR_TOKEN = "operator-token";
    private static final long TIMEOUT_MS = 5_000;
    private static final long ANSWER_MARGIN_MS = 2_000;
    private static final byte[] EMPTY = {};

    private final HttpCaller http;
    private final List<CallerReply> replies = Collections.synchronizedList(new ArrayList<>());

    Api() throws Exception {
        http = new HttpCaller(2, 64);
    }

    /** Returns the token of a workspace. */
    static String tokenOf(String workspace) {
        return workspace + "-token";
    }

    /** Reads a resource as an operator. */
    JsonNode get(String entry, String path) {
        HttpClientResponse reply = call("GET", entry, path, OPERATOR_TOKEN, Map.of(), EMPTY, TIMEOUT_MS)
                .join();
        requireSuccess(path, reply);
        return json(reply);
    }

    /** Returns the HTTP status of reading a resource as an operator. */
    int status(String entry, String path) {
        return call("GET", entry, path, OPERATOR_TOKEN, Map.of(), EMPTY, TIMEOUT_MS)
                .join()
                .status();
    }

    private static void requireSuccess(String path, HttpClientResponse reply) {
        if (reply.status() / 100 != 2) {
            throw new IllegalStateException(path + " answered " + reply.status() + " " + text(reply));
        }
    }

    /** Writes a resource; fails unless that was accepted. */
    void put(String entry, String path, JsonNode envelope, String token) {
        Map<String, String> headers = Map.of("Content-Type", "application/json");
        HttpClientResponse reply = call("PUT", entry, path, token, headers, bytes(envelope), TIMEOUT_MS)
                .join();
        requireSuccess(path, reply);
    }

    /** Cancels a job as its workspace; returns the HTTP status of the answer, or fails without one. */
    CompletableFuture<Integer> cancel(String entry, String workspace, String name) {
        String path = "/v1/jobs/" + workspace + "/" + name + "/cancel";
        return call("POST", entry, path, tokenOf(workspace), Map.of(), EMPTY, TIMEOUT_MS)
                .thenApply(HttpClientResponse::status);
    }

    /** Sends a request to a service and notes what came of it; never fails. */
    CompletableFuture<CallerReply> request(
            String entry,
            String workspace,
            String service,
            String id,
            boolean idempotent,
            long workMs,
            long deadlineMs) {
        String echo = "echo of " + id;
        ObjectNode body =
                JsonNodeFactory.instance.objectNode().put("workMs", workMs).put("echo", echo);
        Map<String, String> headers = Map.of(
                "Request-Id",
                id,
                "Idempotent",
                Boolean.toString(idempotent),
                "Deadline-Ms",
                Long.toString(deadlineMs),
                "Content-Type",
                "application/json");
        String path = "/v1/requests/" + workspace + "/" + service + "/fit";
        return call("POST", entry, path, tokenOf(workspace), headers, bytes(body), deadlineMs + ANSWER_MARGIN_MS)
                .handle((r, t) -> t == null
                        ? new CallerReply(workspace, id, idempotent, echo, code(r), text(r))
                        : new CallerReply(workspace, id, idempotent, echo, CallerReply.NO_ANSWER, ""))
                .thenApply(r -> {
                    replies.add(r);
                    return r;
                });
    }

    /** Returns what all callers saw so far. */
    List<CallerReply> replies() {
        synchronized (replies) {
            return List.copyOf(replies);
        }
    }

    private CompletableFuture<HttpClientResponse> call(
            String method,
            String entry,
            String path,
            String token,
            Map<String, String> headers,
            byte[] body,
            long timeoutMs) {
        Map<String, String> all = new HashMap<>(headers);
        all.put("Authorization", "Bearer " + token);
        return http.call(method, URI.create("http://" + entry + path), all, body, timeoutMs);
    }

    private static int code(HttpClientResponse reply) {
        if (!reply.resultCode().isEmpty()) {
            return Integer.parseInt(reply.resultCode());
        }
        return json(reply).path("code").asInt(CallerReply.NO_ANSWER);
    }

    private static JsonNode json(HttpClientResponse reply) {
        try {
            return Json.lenient().readTree(reply.body());
        } catch (IOException e) {
            throw new IllegalStateException("not JSON: " + text(reply), e);
        }
    }

    private static String text(HttpClientResponse reply) {
        return new String(reply.body(), StandardCharsets.UTF_8);
    }

    private static byte[] bytes(JsonNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        http.close();
    }
}
