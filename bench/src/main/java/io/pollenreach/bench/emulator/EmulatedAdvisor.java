package io.pollenreach.bench.emulator;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.http.HttpListener;
import io.pollenreach.daemon.internal.http.HttpServerRequest;
import io.pollenreach.daemon.internal.http.HttpServerResponse;
import io.pollenreach.internal.json.Json;

/**
 * The platform's advisor: allows some workers to run the steps of advised queues, under tickets that run out.
 *
 * <p>Safe for use by many threads.
 */
public final class EmulatedAdvisor implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final long DECISION_MS = 40;
    private static final long VALID_MS = 1_500;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;

    private final Clock clock = Clock.system();
    private final Set<String> approved;
    private final Map<String, Long> untilByTicket = new HashMap<>();
    private final HttpListener server;
    private long given;

    /** Starts an advisor on a free port of an address that allows some workers, by the platform's names. */
    public EmulatedAdvisor(String ip, Set<String> approved) {
        this.approved = Set.copyOf(approved);
        server = HttpListener.start(ip + ":0", 1, MAX_BODY_BYTES, this::answer);
    }

    /** Returns the port on which it listens. */
    public int port() {
        return server.port();
    }

    private CompletableFuture<HttpServerResponse> answer(HttpServerRequest call) {
        JsonNode question;
        try {
            question = Json.lenient().readTree(call.body());
        } catch (IOException e) {
            return CompletableFuture.completedFuture(HttpServerResponse.of(BAD_REQUEST));
        }
        HttpServerResponse answer = HttpServerResponse.of(OK, advice(question));
        return CompletableFuture.supplyAsync(
                () -> answer, CompletableFuture.delayedExecutor(DECISION_MS, TimeUnit.MILLISECONDS));
    }

    private synchronized ObjectNode advice(JsonNode question) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ArrayNode rows = body.putArray("approved");
        for (JsonNode w : question.path("workers")) {
            if (approved.contains(w.asText())) {
                String ticket = question.path("step").asText() + '@' + w.asText() + '#' + ++given;
                untilByTicket.put(ticket, clock.nowMs() + VALID_MS);
                rows.addArray().add(w.asText()).add(ticket);
            }
        }
        return body.put("validity-ms", VALID_MS);
    }

    /** Tells whether a ticket allows a worker to run a task now. */
    synchronized boolean allows(String ticket, String task, String worker) {
        String step = task.substring(0, task.lastIndexOf('.'));
        return ticket.startsWith(step + '@' + worker + '#') && clock.nowMs() < untilByTicket.getOrDefault(ticket, 0L);
    }

    @Override
    public void close() {
        server.close();
    }
}
