package second;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import second.MiniHttp.Answer;
import second.MiniHttp.Call;

/**
 * A runner of the platform, as PROTOCOL.md describes it.
 *
 * <p>A specification is {@code work=MS} for a subtask that ends, {@code serves=MS} for one that lasts and has this tail
 * latency by itself, or {@code disturbs=MS} for one that fills and adds this to it at full pace. Thread-safe.
 */
final class Worker {
    /** Decides what becomes of an order. */
    interface Disturbance {
        Answer handle(Call call, JsonNode body, RowStore.Performer perform) throws Exception;
    }

    private static final class Run {
        private final String task;
        private final int run;
        private final Map<String, Long> spec = new HashMap<>();
        private final long startedMs;
        private int pace = 100;
        private long stopAtMs = Long.MAX_VALUE;

        Run(String task, int run, String specification, long startedMs) {
            this.task = task;
            this.run = run;
            this.startedMs = startedMs;
            for (String pair : specification.split(" ")) {
                String[] kv = pair.split("=");
                spec.put(kv[0], Long.parseLong(kv[1]));
            }
        }

        long get(String name) {
            return spec.getOrDefault(name, 0L);
        }
    }

    private static final long STOP_MS = 50;
    private static final long TICK_MS = 20;
    private static final long HEARTBEAT_MS = 1_500;

    private final String instance;
    private final String rack;
    private final String control;
    private final Recorder record;
    private final long born = System.currentTimeMillis();
    private final long startNs = System.nanoTime();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final TreeMap<Long, Object[]> ends = new TreeMap<>();
    private final Map<String, Integer> over = new HashMap<>();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final MiniHttp server;
    /** The longest lease that the platform allows, in milliseconds. */
    volatile long maxHoldMs = 6_000;
    private long fence;
    private long leaseUntilMs;
    private long lastEnd;
    private long sequence;
    private volatile int confirmedHeartbeats;
    volatile Disturbance disturbance = (call, body, perform) -> perform.perform();

    Worker(String ip, String instance, String rack, String control, Recorder record) throws Exception {
        this.instance = instance;
        this.rack = rack;
        this.control = control;
        this.record = record;
        server = new MiniHttp(ip, this::handle);
        ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, r -> {
            Thread t = new Thread(r, "worker");
            t.setDaemon(true);
            return t;
        });
        timers.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        timers.scheduleWithFixedDelay(this::announce, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    int port() {
        return server.port();
    }

    String instance() {
        return instance;
    }

    private long nowMs() {
        return 1_000 + (System.nanoTime() - startNs) / 1_000_000;
    }

    private void announce() {
        if (announceAs("pool", ++sequence) == 200) {
            confirmedHeartbeats++;
        }
    }

    /** Returns how many heartbeats of this runner itself were confirmed. */
    int confirmedHeartbeats() {
        return confirmedHeartbeats;
    }

    /** Sends a heartbeat with this runner's identifier; returns the status of the answer, 0 for none. */
    int announceAs(String service, long number) {
        ObjectNode n = RowStore.JSON.createObjectNode();
        n.put("service", service)
                .put("address", "127.0.0.1:" + port())
                .put("zone", "setubal")
                .put("version", "v1")
                .put("slots", 8)
                .put("state", "ready")
                .put("cold-remaining-ms", 0)
                .put("born", born)
                .put("clock-ms", nowMs())
                .put("sequence", number);
        n.putObject("capacity").put("cpu", 32_000).put("requested-memory-mb", 65_536).put("gpu", 8);
        n.putArray("labels").add("a").add(rack);
        try {
            return http.send(
                            HttpRequest.newBuilder(URI.create("http://" + control + "/Instances.Heartbeat/" + instance))
                                    .timeout(Duration.ofSeconds(1))
                                    .header("Content-Type", "application/json")
                                    .POST(HttpRequest.BodyPublishers.ofString(n.toString()))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .statusCode();
        } catch (Exception e) {
            // The next heartbeat follows.
            return 0;
        }
    }

    private synchronized void tick() {
        long now = nowMs();
        for (Run r : List.copyOf(running.values())) {
            if (now > leaseUntilMs) {
                end(r, "lapsed");
            } else if (now >= r.stopAtMs) {
                end(r, "stopped");
            } else if (r.get("work") > 0 && now - r.startedMs >= r.get("work")) {
                end(r, "done");
            }
        }
    }

    private void end(Run r, String how) {
        running.remove(r.task);
        over.merge(r.task, r.run, Math::max);
        ends.put(++lastEnd, new Object[] {r.task, r.run, how});
        record.log("runner " + instance + ": run " + r.run + " of " + r.task + " ended " + how);
        notifyAll();
    }

    /** Returns the number of the run of a subtask that is at work here; 0 if none is. */
    synchronized int atWork(String task) {
        Run r = running.get(task);
        return r == null ? 0 : r.run;
    }

    /** Tells whether a subtask of a job began here. */
    synchronized boolean hasRun(String job) {
        return running.keySet().stream().anyMatch(t -> t.startsWith(job))
                || over.keySet().stream().anyMatch(t -> t.startsWith(job));
    }

    /** Returns the tail latency of what serves here, in milliseconds, with or without what fills beside it. */
    synchronized long latencyMs(boolean withFillers) {
        long own = running.values().stream().mapToLong(r -> r.get("serves")).max().orElse(0);
        long more = running.values().stream()
                .mapToLong(r -> r.get("disturbs") * r.pace / 100)
                .sum();
        return own == 0 ? 0 : own + (withFillers ? more : 0);
    }

    /** Returns the pace of what fills here, as a percentage; -1 if nothing does. */
    synchronized int fillerPace() {
        return running.values().stream()
                .filter(r -> r.get("disturbs") > 0)
                .mapToInt(r -> r.pace)
                .max()
                .orElse(-1);
    }

    private Answer handle(Call call) throws Exception {
        JsonNode body = RowStore.JSON.readTree(call.body());
        String expected = call.headers().get("x-pollenreach-expected-instance");
        if (expected != null && !expected.equals(instance)) {
            return Answer.of(421, "");
        }
        return disturbance.handle(call, body, () -> perform(call.path(), body));
    }

    synchronized Answer perform(String path, JsonNode body) throws InterruptedException {
        long token = body.path("fencing-token").asLong();
        if (token < fence) {
            return refused("fence");
        }
        fence = token;
        switch (path) {
            case "/run-start":
                return start(body);
            case "/run-stop":
                return stop(body);
            case "/pace":
                return pace(body);
            case "/hold":
                return hold(body);
            default:
                return Answer.of(404, "");
        }
    }

    private Answer start(JsonNode body) {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        long until = body.path("until-ms").asLong();
        if (until <= nowMs()) {
            return refused("late");
        }
        extend(until);
        Run present = running.get(task);
        if (present != null && present.run == run) {
            return Answer.of(200, stamp().toString());
        }
        if (present != null || run <= over.getOrDefault(task, 0)) {
            return refused("old");
        }
        running.put(task, new Run(task, run, body.path("specification").asText(), nowMs()));
        record.log("runner " + instance + ": run " + run + " of " + task + " began");
        return Answer.of(200, stamp().toString());
    }

    private void extend(long untilMs) {
        leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, nowMs() + maxHoldMs));
    }

    private Answer stop(JsonNode body) {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        Run present = running.get(task);
        if (present != null && present.run == run) {
            present.stopAtMs = Math.min(present.stopAtMs, nowMs() + STOP_MS);
        } else {
            over.merge(task, run, Math::max);
        }
        record.log("runner " + instance + ": told to stop run " + run + " of " + task);
        return Answer.of(200, stamp().toString());
    }

    private Answer pace(JsonNode body) {
        Run present = running.get(body.path("task").asText());
        if (present == null || present.run != body.path("run").asInt()) {
            return refused("old");
        }
        present.pace = body.path("percentage").asInt();
        record.log("runner " + instance + ": pace of " + present.task + " is now " + present.pace);
        return Answer.of(200, stamp().toString());
    }

    private Answer hold(JsonNode body) throws InterruptedException {
        if (body.has("until-ms")) {
            extend(body.path("until-ms").asLong());
        }
        ends.headMap(body.path("ack-cursor").asLong(), true).clear();
        long endMs = nowMs() + Math.min(2_000, body.path("wait-ms").asLong());
        while (ends.isEmpty() && nowMs() < endMs) {
            wait(Math.max(1, endMs - nowMs()));
        }
        ObjectNode answer = stamp();
        ArrayNode rows = answer.putArray("running");
        for (Run r : running.values()) {
            long percent = r.get("work") > 0 ? Math.min(99, 100 * (nowMs() - r.startedMs) / r.get("work")) : 100;
            rows.addArray()
                    .add(r.task)
                    .add(r.run)
                    .add("")
                    .add(percent)
                    .add(r.get("serves") > 0 ? latencyMs(true) : 1_000);
        }
        ArrayNode finished = answer.putArray("finished");
        ends.forEach((n, e) -> finished.addArray()
                .add(n)
                .add((String) e[0])
                .add((int) e[1])
                .add((String) e[2])
                .add(""));
        return Answer.of(200, answer.toString());
    }

    private Answer refused(String reason) {
        return Answer.of(409, stamp().put("reason", reason).toString());
    }

    private ObjectNode stamp() {
        return RowStore.JSON.createObjectNode().put("clock-ms", nowMs()).put("born", born);
    }
}
