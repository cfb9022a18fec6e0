package third;

import java.util.List;

/** A large job of small subtasks comes beside another tenant's subtasks that last and may not all be away. */
final class ManySmall implements Case.Body {
    private static final int RUNNERS = 4;
    private static final int LARGE = 4_000;
    private static final int USUAL = 20;
    private static final int SERVING = 8;
    private static final long WORK_MS = 10_000;
    private static final long WATCH_MS = 45_000;
    private static final long SAMPLE_MS = 3_000;
    private static final long TOGETHER_MS = 4_500;
    private static final String SERVICE = "00000000000000b1";
    private static final String BIG = "00000000000000a1";

    @Override
    public boolean holds(Nodes3 nodes, Log log, boolean trouble) throws Exception {
        new Config3()
                .route("serving", "/serving/", 0, false)
                .route("batch", "/batch/", 2, false)
                .tenant("team-a", "key-a", 4)
                .tenant("team-b", "key-b", 4)
                .put(nodes, 1);
        for (int i = 1; i <= 3; i++) {
            nodes.addEntry("e" + i, "z" + i);
        }
        for (int i = 1; i <= RUNNERS; i++) {
            nodes.addAgent("a" + i, "z" + (1 + i % 3), "r" + (1 + i % 2));
        }
        nodes.awaitReady("key-b", "/serving/");
        nodes.submit("key-b", "/serving/" + SERVICE, "{\"specification\":\"lasts=1\",\"steps\":[{\"count\":" + SERVING
                + ",\"cpu\":1000,\"requested-memory-mb\":256,\"long-running\":true,\"max-unavailable\":1,\"anti-affinity\":2}]}");
        nodes.await("the subtasks that last run", 10_000, () -> Checks.starts(log, SERVICE) >= SERVING);
        Thread.sleep(8_000);

        String big = "{\"specification\":\"work=" + WORK_MS + "\",\"steps\":[{\"count\":" + (trouble ? LARGE : USUAL)
                + ",\"cpu\":50,\"requested-memory-mb\":64,\"estimated-ms\":" + WORK_MS + "}]}";
        if (!nodes.submit("key-a", "/batch/" + BIG, big)) {
            throw new IllegalStateException("the large job was not accepted");
        }
        for (long t = 0; t < WATCH_MS; t += SAMPLE_MS) {
            Thread.sleep(SAMPLE_MS);
            log.line("%d of %d subtasks that last run, and %d others", running(nodes, SERVICE), SERVING, running(nodes, BIG));
        }
        nodes.call("e2", "key-a", "GET", "/batch/" + BIG, "", 3_000);
        nodes.call("e2", "key-b", "GET", "/serving/" + SERVICE, "", 3_000);
        log.line("%d runs of the large job lapsed", lapses(log, BIG).size());
        return broken(log) == 0;
    }

    private static long running(Nodes3 nodes, String job) {
        return nodes.runners.values().stream()
                .flatMap(r -> r.tasksNow().stream())
                .filter(t -> t.startsWith(job))
                .count();
    }

    private static List<Log.Event> lapses(Log log, String job) {
        return log.runs(job).stream().filter(e -> e.what().equals("end") && e.how().equals("lapsed")).toList();
    }

    /** Counts the lapses of subtasks that last while another of the step was away through a lapse. */
    private static long broken(Log log) {
        List<Log.Event> lapses = lapses(log, SERVICE);
        long broken = 0;
        for (Log.Event e : lapses) {
            boolean otherAway = lapses.stream()
                    .anyMatch(o -> o != e && !o.task().equals(e.task()) && o.atMs() <= e.atMs()
                            && e.atMs() - o.atMs() < TOGETHER_MS && !startedBetween(log, o, e.atMs()));
            if (otherAway) {
                broken++;
            }
        }
        log.line("%d of the subtasks that last lapsed, %d of them while another was away", lapses.size(), broken);
        return broken;
    }

    private static boolean startedBetween(Log log, Log.Event end, long untilMs) {
        return log.runs(end.task()).stream()
                .anyMatch(s -> s.what().equals("start") && s.atMs() >= end.atMs() && s.atMs() < untilMs);
    }
}
