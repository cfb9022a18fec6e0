package third;

import java.util.ArrayList;
import java.util.List;

/** A schedule whose first time lies a week back is handed in; jobs of another tenant follow. */
final class OldSchedule implements Case.Body {
    private static final long INTERVAL_MS = 2_000;
    private static final long WEEK_MS = 7 * 86_400_000L;
    private static final long FINISH_MS = 14_000;
    private static final long STUCK_MS = 3_000;

    @Override
    public boolean holds(Nodes3 nodes, Log log, boolean trouble) throws Exception {
        new Config3()
                .route("checks", "/checks/", 2, false)
                .route("jobs", "/jobs/", 1, false)
                .tenant("team-a", "key-a", 4)
                .tenant("team-b", "key-b", 4)
                .put(nodes, 1);
        for (int i = 1; i <= 3; i++) {
            nodes.addEntry("e" + i, "z" + i);
        }
        for (int i = 1; i <= 4; i++) {
            nodes.addAgent("a" + i, "z" + (1 + i % 3), "r" + (1 + i % 2));
        }
        nodes.awaitReady("key-b", "/jobs/");
        if (!nodes.submit("key-b", "/jobs/00000000000000b0", job(200))) {
            throw new IllegalStateException("the first job was not accepted");
        }
        nodes.await("the first job runs", 10_000, () -> Checks.starts(log, "00000000000000b0") > 0);

        long firstMs = System.currentTimeMillis() - (trouble ? WEEK_MS : 0);
        String schedule = "{\"specification\":\"work=200\",\"steps\":[{\"count\":1,\"cpu\":500,\"requested-memory-mb\":256,"
                + "\"estimated-ms\":200}],\"repetitions\":" + WEEK_MS / INTERVAL_MS + ",\"first-run-ms\":" + firstMs
                + ",\"interval-ms\":" + INTERVAL_MS + "}";
        nodes.call("e1", "key-a", "POST", "/checks/00000000000000a1", schedule, 3_000);
        Thread.sleep(15_000);
        boolean held = others(nodes, log, "b", "while the schedule is there");
        nodes.call("e2", "key-a", "DELETE", "/checks/00000000000000a1", "", 3_000);
        nodes.call("e3", "key-a", "DELETE", "/checks/00000000000000a1", "", 3_000);
        Thread.sleep(5_000);
        held &= others(nodes, log, "c", "after the schedule was cancelled");
        for (String e : nodes.fronts.keySet()) {
            nodes.call(e, "key-b", "GET", "/jobs/", "", 3_000);
        }
        return held;
    }

    private static boolean others(Nodes3 nodes, Log log, String series, String when) throws Exception {
        List<String> accepted = new ArrayList<>();
        for (int i = 1; i <= 5; i++) {
            String id = "00000000000000" + series + i;
            if (nodes.submit("key-b", "/jobs/" + id, job(200))) {
                accepted.add(id);
            }
            Thread.sleep(500);
        }
        Thread.sleep(FINISH_MS);
        int before = Checks.running(nodes);
        Thread.sleep(STUCK_MS);
        log.line("%s: %d subtasks run on 4 runners, %d were 3 s before", when, Checks.running(nodes), before);
        for (String id : accepted) {
            nodes.call("e2", "key-b", "GET", "/jobs/" + id, "", 3_000);
        }
        return Checks.allStarted(log, accepted) && !accepted.isEmpty();
    }

    private static String job(long workMs) {
        return "{\"specification\":\"work=" + workMs + "\",\"steps\":[{\"count\":2,\"cpu\":500,"
                + "\"requested-memory-mb\":256,\"estimated-ms\":" + workMs + "}]}";
    }
}
