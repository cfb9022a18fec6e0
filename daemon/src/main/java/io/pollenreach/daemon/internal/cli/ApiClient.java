package io.pollenreach.daemon.internal.cli;

import java.io.IOException;
import java.net.URI;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.http.HttpCaller;
import io.pollenreach.daemon.internal.http.HttpClientResponse;
import io.pollenreach.internal.json.Json;

/**
 * Calls the resource API on the first of several servers that answers.
 *
 * <p>Invariant: a call is repeated at another server only when nothing was sent, the server refused to take part, or
 * the caller said that repeating is safe. For use by one thread.
 */
final class ApiClient implements AutoCloseable {
    /** How long one call may take. */
    static final long CALL_TIMEOUT_MS = 15_000;

    /** What may be done when the answer to a call was lost. Immutable. */
    enum Repeat {
        /** Send the call again elsewhere: it is idempotent. */
        SAFE,
        /** Report that the outcome is not known. */
        UNSAFE
    }

    private final List<URI> servers;
    private final String token;
    private final HttpCaller caller;
    private int current;

    ApiClient(List<URI> servers, String token) throws Exception {
        this.servers = List.copyOf(servers);
        this.token = token;
        caller = new HttpCaller(1, 1);
    }

    /** Reads a resource. */
    JsonNode get(String path) {
        return json(read(path));
    }

    /** Reads what is not an envelope. */
    HttpClientResponse read(String path) {
        return send("GET", path, Map.of(), new byte[0], CALL_TIMEOUT_MS, Repeat.SAFE);
    }

    /** Reads a resource that may not exist. */
    Optional<JsonNode> find(String path) {
        try {
            return Optional.of(get(path));
        } catch (PollenreachException e) {
            if (e.code() == ResultCode.NOT_FOUND) {
                return Optional.empty();
            }
            throw e;
        }
    }

    /** Writes a resource; {@code version} is the version that it must have, 0 when it must not exist. */
    JsonNode put(String path, JsonNode envelope, Optional<Long> version) {
        Map<String, String> headers = new HashMap<>();
        version.ifPresent(v -> headers.put("If-Match", Long.toString(v)));
        return json(send("PUT", path, headers, bytes(envelope), CALL_TIMEOUT_MS, Repeat.SAFE));
    }

    /** Acts on a resource; the action must be idempotent. */
    JsonNode post(String path) {
        return json(send("POST", path, Map.of(), new byte[0], CALL_TIMEOUT_MS, Repeat.SAFE));
    }

    /** Asks a question that needs a body; it must change nothing. */
    JsonNode post(String path, JsonNode body) {
        return json(send("POST", path, Map.of(), bytes(body), CALL_TIMEOUT_MS, Repeat.SAFE));
    }

    /**
     * Sends a call to the servers in turn until one takes it.
     *
     * @return the first answer, whatever its status; fails with the last server's failure
     */
    HttpClientResponse send(
            String method, String path, Map<String, String> headers, byte[] body, long timeoutMs, Repeat repeat) {
        PollenreachException last = null;
        for (int i = 0; i < servers.size(); i++) {
            int index = (current + i) % servers.size();
            try {
                HttpClientResponse reply = sendTo(servers.get(index), method, path, headers, body, timeoutMs);
                if (takesNoPart(reply) && i + 1 < servers.size()) {
                    continue;
                }
                current = index;
                return reply;
            } catch (PollenreachException e) {
                last = e;
                if (e.code() != ResultCode.PEER_UNREACHABLE && repeat == Repeat.UNSAFE) {
                    throw e;
                }
            }
        }
        throw last == null ? new PollenreachException(ResultCode.PEER_UNREACHABLE, "No server takes part.") : last;
    }

    private HttpClientResponse sendTo(
            URI server, String method, String path, Map<String, String> headers, byte[] body, long timeoutMs) {
        Map<String, String> all = new HashMap<>(headers);
        all.put("Authorization", "Bearer " + token);
        if (body.length > 0) {
            all.putIfAbsent("Content-Type", "application/json");
        }
        try {
            return caller.call(method, URI.create(server + path), all, body, timeoutMs)
                    .join();
        } catch (CompletionException e) {
            throw PollenreachException.of(e);
        }
    }

    private static boolean takesNoPart(HttpClientResponse reply) {
        if (reply.status() != ResultCode.NOT_READY.httpStatus()
                || reply.resultCode().equals("0")) {
            return false;
        }
        return error(reply)
                .filter(e -> e.code() == ResultCode.NOT_READY || e.code() == ResultCode.DRAINING)
                .isPresent();
    }

    /** Reads the error in an answer; empty when it holds none. */
    static Optional<PollenreachException> error(HttpClientResponse reply) {
        return reply.status() < 400 ? Optional.empty() : Errors.read(parse(reply));
    }

    private static JsonNode json(HttpClientResponse reply) {
        Optional<PollenreachException> error = error(reply);
        if (error.isPresent()) {
            throw error.get();
        }
        if (reply.status() >= 400) {
            throw new PollenreachException(ResultCode.INTERNAL, "The server answered HTTP " + reply.status() + ".");
        }
        return parse(reply);
    }

    private static JsonNode parse(HttpClientResponse reply) {
        try {
            JsonNode body = Json.lenient().readTree(reply.body());
            return body == null ? JsonNodeFactory.instance.missingNode() : body;
        } catch (IOException e) {
            return JsonNodeFactory.instance.missingNode();
        }
    }

    private static byte[] bytes(JsonNode body) {
        try {
            return Json.lenient().writeValueAsBytes(body);
        } catch (IOException e) {
            throw new PollenreachException(ResultCode.INTERNAL, null, "The body can't be written.", e);
        }
    }

    @Override
    public void close() {
        caller.close();
    }
}
