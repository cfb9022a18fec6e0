package third;

import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A runner as PROTOCOL describes it. A specification holds pairs {@code name=number}: {@code work}, the milliseconds of
 * work of each subtask; {@code fails}, the number of first runs of each subtask that fail.
 */
final class Runner3 {
    private static final long TICK_MS = 10;
    private static final long HEARTBEAT_MS = 1_500;
    private static final long STOP_MS = 100;
    private static final long MAX_HOLD_MS = 6_000;

    static final class Run {
        String task;
        int run;
        String spec;
        long workMs;
        boolean fails;
        boolean lasts;
        long doneMs;
        long stopAtMs = Long.MAX_VALUE;
    }

    final String id;
    final Log log;
    private final String rack;
    private final String zone;
    private final HttpServer server;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final TreeMap<Long, Object[]> ends = new TreeMap<>();
    private final Map<String, Integer> over = new HashMap<>();
    private final long born = System.currentTimeMillis();
    private final long startNs = System.nanoTime();
    private long fence;
    private long leaseUntilMs;
    private long lastEnd;
    private long sequence;
    private Advisor3 advisor;
    private String lastFailed = "";
    private volatile String agentAddress;
    volatile long drainsAtMs = Long.MAX_VALUE;
    private volatile boolean closed;

    Runner3(String id, String zone, String rack, Log log) throws Exception {
        this.id = id;
        this.zone = zone;
        this.rack = rack;
        this.log = log;
        server = Web.serve(0, (x, path, query, body) ->
                answer(x.getRequestHeaders().getFirst("X-Pollenreach-Expected-Instance"), path, body));
    }

    /** Lets the runner start only what carries a ticket of an advisor. */
    synchronized void requireTickets(Advisor3 of) {
        advisor = of;
    }

    synchronized List<String> tasksNow() {
        return List.copyOf(running.keySet());
    }

    synchronized int runningNow() {
        return running.size();
    }

    String address() {
        return Web.IP + ":" + server.getAddress().getPort();
    }

    void start(String agent) {
        agentAddress = agent;
        thread(this::ticks);
        thread(this::beats);
    }

    private static void thread(Runnable r) {
        Thread t = new Thread(r);
        t.setDaemon(true);
        t.start();
    }

    private long clockMs() {
        return (System.nanoTime() - startNs) / 1_000_000 + 1_000;
    }

    private void ticks() {
        long before = clockMs();
        while (!closed) {
            try {
                Thread.sleep(TICK_MS);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                long now = clockMs();
                long passed = now - before;
                before = now;
                for (Run r : List.copyOf(running.values())) {
                    r.doneMs += passed;
                    if (now > leaseUntilMs) {
                        end(r, "lapsed");
                    } else if (now >= r.stopAtMs) {
                        end(r, "stopped");
                    } else if (r.fails) {
                        end(r, "failed");
                    } else if (!r.lasts && r.doneMs >= r.workMs) {
                        end(r, "done");
                    }
                }
            }
        }
    }

    private void end(Run r, String how) {
        running.remove(r.task);
        over.merge(r.task, r.run, Math::max);
        ends.put(++lastEnd, new Object[] {r.task, r.run, how});
        log.run("end", id, r.task, r.run, how);
        notifyAll();
    }

    /** Lets one run fail, as a subtask may at any time: the one after that which failed here last, by its name. */
    synchronized void failNext() {
        TreeMap<String, Run> byTask = new TreeMap<>();
        running.values().forEach(r -> byTask.put(r.task, r));
        if (!byTask.isEmpty()) {
            var next = byTask.higherEntry(lastFailed);
            Run r = (next == null ? byTask.firstEntry() : next).getValue();
            lastFailed = r.task;
            end(r, "failed");
        }
    }

    private void beats() {
        while (!closed) {
            beat();
            try {
                Thread.sleep(HEARTBEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    void beat() {
        Map<String, Object> m = J.map(
                "service", "pool", "address", address(), "zone", zone, "version", "v1", "slots", 8,
                "state", drainsAtMs == Long.MAX_VALUE ? "ready" : "draining", "cold-remaining-ms", 0,
                "capacity", J.map("cpu", 32000, "requested-memory-mb", 65536, "gpu", 8),
                "labels", List.of("a", rack), "clock-ms", clockMs(), "born", born);
        synchronized (this) {
            m.put("sequence", ++sequence);
        }
        try {
            Web.call(agentAddress, "POST", "/Instances.Heartbeat/" + id, J.write(m), 1_000);
        } catch (Exception e) {
            // The next heartbeat comes anyway.
        }
    }

    private Web.Answer answer(String expected, String path, String text) throws Exception {
        if (expected != null && !expected.equals(id)) {
            return new Web.Answer(421, null);
        }
        Map<String, Object> body = J.object(text);
        synchronized (this) {
            long token = J.number(body, "fencing-token");
            if (token < fence) {
                return refuse("fence");
            }
            fence = token;
            switch (path) {
                case "/run-start":
                    return start(body);
                case "/run-stop":
                    return stop(body);
                case "/pace":
                    return new Web.Answer(200, stamp());
                case "/hold":
                    return hold(body);
                default:
                    return new Web.Answer(404, null);
            }
        }
    }

    private Map<String, Object> stamp() {
        return J.map("clock-ms", clockMs(), "born", born);
    }

    private Web.Answer refuse(String reason) {
        Map<String, Object> m = stamp();
        m.put("reason", reason);
        return new Web.Answer(409, m);
    }

    private void extend(long untilMs) {
        leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, clockMs() + MAX_HOLD_MS));
    }

    private Web.Answer start(Map<String, Object> body) {
        String task = J.text(body, "task");
        int run = (int) J.number(body, "run");
        long until = J.number(body, "until-ms");
        if (until <= clockMs()) {
            return refuse("late");
        }
        extend(until);
        Run present = running.get(task);
        if (present != null && present.run == run) {
            return new Web.Answer(200, stamp());
        }
        if (present != null || run <= over.getOrDefault(task, 0)) {
            return refuse("old");
        }
        if (advisor != null && !advisor.allows(J.text(body, "ticket"), task, id)) {
            return refuse("ticket");
        }
        Run r = new Run();
        r.task = task;
        r.run = run;
        r.spec = J.text(body, "specification");
        Map<String, Long> spec = new HashMap<>();
        for (String pair : r.spec.split(" ")) {
            int eq = pair.indexOf('=');
            if (eq > 0) {
                spec.put(pair.substring(0, eq), Long.parseLong(pair.substring(eq + 1)));
            }
        }
        r.workMs = spec.getOrDefault("work", 100L);
        r.fails = run <= spec.getOrDefault("fails", 0L);
        r.lasts = spec.containsKey("lasts");
        running.put(task, r);
        log.run("start", id, task, run, "");
        return new Web.Answer(200, stamp());
    }

    private Web.Answer stop(Map<String, Object> body) {
        String task = J.text(body, "task");
        int run = (int) J.number(body, "run");
        Run present = running.get(task);
        if (present != null && present.run == run) {
            present.stopAtMs = Math.min(present.stopAtMs, clockMs() + STOP_MS);
        } else {
            over.merge(task, run, Math::max);
        }
        return new Web.Answer(200, stamp());
    }

    private Web.Answer hold(Map<String, Object> body) throws InterruptedException {
        ends.headMap(J.number(body, "ack-cursor"), true).clear();
        if (body.containsKey("until-ms")) {
            extend(J.number(body, "until-ms"));
        }
        long endMs = clockMs() + J.number(body, "wait-ms");
        while (ends.isEmpty() && clockMs() < endMs) {
            wait(Math.max(1, endMs - clockMs()));
        }
        Map<String, Object> m = stamp();
        List<Object> list = new ArrayList<>();
        running.values().forEach(r -> list.add(List.of(
                r.task, r.run, "", r.lasts ? 100 : Math.min(100, 100 * r.doneMs / Math.max(1, r.workMs)), 0)));
        List<Object> finished = new ArrayList<>();
        ends.entrySet().stream()
                .limit(500)
                .forEach(e -> finished.add(
                        List.of(e.getKey(), e.getValue()[0], e.getValue()[1], e.getValue()[2], "")));
        m.put("running", list);
        m.put("finished", finished);
        return new Web.Answer(200, m);
    }
}
