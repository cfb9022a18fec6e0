package review;

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

/**
 * A runner as PROTOCOL.md describes it: runs subtasks under a lease, and registers at the agent beside it. It can crash
 * and start again under the identifier that it had.
 *
 * <p>A specification begins with {@code work=MS}, or with {@code lasts}; what follows a semicolon is ignored.
 * Thread-safe.
 */
final class Runner implements AutoCloseable {
    static final long CPU = 32_000;
    static final long MEMORY_MB = 65_536;
    static final int GPU = 8;
    private static final long MAX_HOLD_MS = 6_000;
    private static final long HEARTBEAT_MS = 1_500;
    private static final long TICK_MS = 10;

    private static final class Task {
        final RunRecord.Run seen;
        final int run;
        final long endsAtMs;
        long stopAtMs = Long.MAX_VALUE;

        Task(RunRecord.Run seen, int run, long endsAtMs) {
            this.seen = seen;
            this.run = run;
            this.endsAtMs = endsAtMs;
        }
    }

    /** One life of the runner; all that it knows ends with it. */
    private final class Boot {
        final long bornMs = System.currentTimeMillis();
        final long originNs = System.nanoTime();
        final Map<String, Task> running = new LinkedHashMap<>();
        final Map<String, Integer> highest = new HashMap<>();
        final TreeMap<Long, ArrayNode> ends = new TreeMap<>();
        final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread t = new Thread(r, "runner");
            t.setDaemon(true);
            return t;
        });
        final Http http;
        long fence;
        long leaseUntilMs;
        long lastEnd;
        long sequence;

        Boot() throws Exception {
            http = new Http(ip, port, this::answer);
            timers.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
            timers.scheduleAtFixedRate(this::heartbeat, firstHeartbeatMs, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
        }

        long clockMs() {
            return 1_000 + (System.nanoTime() - originNs) / 1_000_000;
        }

        void heartbeat() {
            ObjectNode n = heartbeatOf(pool, bornMs, ++sequence, clockMs());
            if (isDraining) {
                n.put("state", "draining").put("drain-remaining-ms", 2_000);
            }
            post(identifier, n);
        }

        synchronized void tick() {
            long nowMs = clockMs();
            for (Map.Entry<String, Task> e : List.copyOf(running.entrySet())) {
                Task t = e.getValue();
                if (nowMs > leaseUntilMs) {
                    end(e.getKey(), t, "lapsed");
                } else if (nowMs >= t.stopAtMs) {
                    end(e.getKey(), t, "stopped");
                } else if (nowMs >= t.endsAtMs) {
                    end(e.getKey(), t, "done");
                }
            }
        }

        void end(String name, Task t, String how) {
            running.remove(name);
            highest.merge(name, t.run, Math::max);
            record.ended(t.seen, how);
            ends.put(++lastEnd, Http.JSON.createArrayNode().add(lastEnd).add(name).add(t.run).add(how).add(""));
            notifyAll();
        }

        void crash() {
            http.close();
            timers.shutdownNow();
            synchronized (this) {
                running.values().forEach(t -> record.ended(t.seen, "gone with its runner"));
                running.clear();
            }
        }

        Http.Answer answer(Http.Call call) throws Exception {
            String expected = call.headers().get("x-pollenreach-expected-instance");
            if (expected != null && !expected.equals(identifier)) {
                return new Http.Answer(421, stamp());
            }
            JsonNode body = call.body();
            synchronized (this) {
                long token = body.path("fencing-token").asLong();
                if (token < fence) {
                    return refused("fence");
                }
                fence = token;
                switch (call.path()) {
                    case "/run-start":
                        return start(body);
                    case "/run-stop":
                        return stop(body);
                    case "/hold":
                        return hold(body);
                    case "/pace":
                        return new Http.Answer(200, stamp());
                    default:
                        return new Http.Answer(404, null);
                }
            }
        }

        private void extend(JsonNode body) {
            long until = Math.min(body.path("until-ms").asLong(), clockMs() + MAX_HOLD_MS);
            leaseUntilMs = Math.max(leaseUntilMs, until);
        }

        private Http.Answer start(JsonNode body) {
            String name = body.path("task").asText();
            int run = body.path("run").asInt();
            if (body.path("until-ms").asLong() <= clockMs()) {
                return refused("late");
            }
            if (advisor != null && !advisor.allows(body.path("ticket").asText(), name, identifier)) {
                return refused("ticket");
            }
            extend(body);
            Task present = running.get(name);
            if (present != null && present.run == run) {
                return new Http.Answer(200, stamp());
            }
            if (present != null || run <= highest.getOrDefault(name, 0)) {
                return refused("old");
            }
            String spec = body.path("specification").asText();
            String first = spec.contains(";") ? spec.substring(0, spec.indexOf(';')) : spec;
            long endsAt = first.equals("lasts")
                    ? Long.MAX_VALUE
                    : clockMs() + Long.parseLong(first.substring(first.indexOf('=') + 1));
            running.put(name, new Task(record.started(name, run, identifier + " born " + bornMs), run, endsAt));
            return new Http.Answer(200, stamp());
        }

        private Http.Answer stop(JsonNode body) {
            String name = body.path("task").asText();
            int run = body.path("run").asInt();
            record.note("told to stop " + name + " run " + run + " on " + identifier);
            Task present = running.get(name);
            if (present != null && present.run == run) {
                present.stopAtMs = Math.min(present.stopAtMs, clockMs() + stopMs);
            } else {
                highest.merge(name, run, Math::max);
            }
            return new Http.Answer(200, stamp());
        }

        private Http.Answer hold(JsonNode body) throws InterruptedException {
            ends.headMap(body.path("ack-cursor").asLong(), true).clear();
            if (body.has("until-ms")) {
                extend(body);
            }
            long endNs = System.nanoTime() + Math.min(2_000, body.path("wait-ms").asLong()) * 1_000_000;
            for (long leftMs = leftMs(endNs); ends.isEmpty() && leftMs > 0; leftMs = leftMs(endNs)) {
                wait(leftMs);
            }
            ObjectNode answer = stamp();
            ArrayNode rows = answer.putArray("running");
            running.forEach((name, t) -> rows.addArray()
                    .add(name)
                    .add(t.run)
                    .add("")
                    .add(percent(t))
                    .add(0));
            ArrayNode finished = answer.putArray("finished");
            ends.values().stream().limit(500).forEach(finished::add);
            return new Http.Answer(200, answer);
        }

        private int percent(Task t) {
            if (t.endsAtMs == Long.MAX_VALUE) {
                return 100;
            }
            long leftMs = t.endsAtMs - clockMs();
            long wholeMs = t.endsAtMs - (clockMs() - (record.nowMs() - t.seen.startMs));
            return (int) Math.max(0, Math.min(99, 100 - 100 * leftMs / Math.max(1, wholeMs)));
        }

        private static long leftMs(long endNs) {
            return (endNs - System.nanoTime()) / 1_000_000;
        }

        private Http.Answer refused(String reason) {
            return new Http.Answer(409, stamp().put("reason", reason));
        }

        private ObjectNode stamp() {
            return Http.JSON.createObjectNode().put("clock-ms", clockMs()).put("born", bornMs);
        }
    }

    final String identifier;
    final String pool;
    private final String ip;
    private final int port;
    private final String rack;
    private final String agentControl;
    private final Advisor advisor;
    private final RunRecord record;
    private final long stopMs;
    private final long firstHeartbeatMs;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();
    private volatile boolean isDraining;
    private Boot boot;

    Runner(String identifier, String ip, int port, String rack, String agentControl, Advisor advisor, RunRecord record,
            long stopMs, long firstHeartbeatMs) throws Exception {
        this.identifier = identifier;
        this.ip = ip;
        this.port = port;
        this.rack = rack;
        this.agentControl = agentControl;
        this.advisor = advisor;
        this.record = record;
        this.stopMs = stopMs;
        this.firstHeartbeatMs = firstHeartbeatMs;
        pool = Cluster.POOL;
        boot = new Boot();
    }

    /** Returns a heartbeat of a runner beside this one's agent. */
    ObjectNode heartbeatOf(String service, long bornMs, long sequence, long clockMs) {
        ObjectNode n = Http.JSON.createObjectNode();
        n.put("service", service).put("address", ip + ":" + port).put("zone", "setubal").put("version", "v1");
        n.put("slots", 8).put("state", "ready").put("cold-remaining-ms", 0);
        n.putObject("capacity").put("cpu", CPU).put("requested-memory-mb", MEMORY_MB).put("gpu", GPU);
        n.putArray("labels").add("a").add(rack);
        return n.put("clock-ms", clockMs).put("born", bornMs).put("sequence", sequence);
    }

    /** Sends a heartbeat to this runner's agent; returns the status, or 0 when there was no response. */
    int post(String id, ObjectNode heartbeat) {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + agentControl + "/Instances.Heartbeat/" + id))
                .timeout(Duration.ofSeconds(1))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(heartbeat.toString()))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (java.io.IOException e) {
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    long bornMs() {
        return boot.bornMs;
    }

    /** Ends this life without a word. */
    void crash() {
        record.note(identifier + " crashes");
        boot.crash();
    }

    /** Starts again under the same identifier, knowing nothing of before. */
    void restart() throws Exception {
        boot = new Boot();
        record.note(identifier + " starts again, born " + boot.bornMs);
    }

    /** From now on reports that it drains. */
    void drain() {
        isDraining = true;
        record.note(identifier + " drains");
    }

    /** Says that it leaves, waits for the confirmation for a second, and ends: at once, or later when there was none. */
    void leave(long unconfirmedMs) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + agentControl + "/Instances.Deregister/" + identifier))
                .timeout(Duration.ofSeconds(1))
                .POST(HttpRequest.BodyPublishers.noBody())
                .build();
        int status;
        try {
            status = client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (java.io.IOException e) {
            status = 0;
        }
        record.note(identifier + ": POST /Instances.Deregister/" + identifier + " -> " + status);
        if (status / 100 != 2) {
            Thread.sleep(unconfirmedMs);
        }
        record.note(identifier + " ends");
        boot.crash();
    }

    List<String> runningNow() {
        synchronized (boot) {
            return new ArrayList<>(boot.running.keySet());
        }
    }

    @Override
    public void close() {
        boot.crash();
    }
}
