package review;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The service at {@code advice}: knows which runners may run each step of an advised queue. Thread-safe. */
final class Advisor implements AutoCloseable {
    private static final long DECISION_MS = 40;
    private static final long VALID_MS = 3_000;

    private final Map<String, Set<String>> approvedByStep = new ConcurrentHashMap<>();
    private final Map<String, Long> untilByTicket = new HashMap<>();
    private final RunRecord record;
    private final Http http;
    private long given;

    Advisor(String ip, int port, RunRecord record) throws Exception {
        this.record = record;
        http = new Http(ip, port, this::answer);
    }

    /** Says which runners may run a step; this never changes. */
    void approve(String step, Set<String> runners) {
        approvedByStep.put(step, runners);
    }

    private Http.Answer answer(Http.Call call) throws Exception {
        JsonNode body = call.body();
        synchronized (this) {
            // One call at a time, in turn.
            Thread.sleep(DECISION_MS);
            String step = body.path("step").asText();
            ObjectNode answer = Http.JSON.createObjectNode();
            ArrayNode rows = answer.putArray("approved");
            for (JsonNode w : body.path("workers")) {
                if (approvedByStep.getOrDefault(step, Set.of()).contains(w.asText())) {
                    String ticket = "t" + ++given;
                    untilByTicket.put(ticket + '@' + step + '@' + w.asText(), record.nowMs() + VALID_MS);
                    rows.addArray().add(w.asText()).add(ticket);
                }
            }
            record.note("advice on " + step + " for " + body.path("workers") + ": " + rows);
            return new Http.Answer(200, answer.put("validity-ms", VALID_MS));
        }
    }

    /** Tells whether a ticket allows a runner to start a subtask now; subtasks of other queues need none. */
    synchronized boolean allows(String ticket, String task, String runner) {
        String step = task.substring(0, task.lastIndexOf('.'));
        if (!approvedByStep.containsKey(step)) {
            return true;
        }
        return record.nowMs() < untilByTicket.getOrDefault(ticket + '@' + step + '@' + runner, 0L);
    }

    @Override
    public void close() {
        http.close();
    }
}
