package review;

import java.nio.file.Path;

/**
 * A subtask that lasts is at work on each runner. A job comes whose subtasks need whole runners, so that it can't be
 * done, and then a small one.
 */
final class HopelessClaim {
    private static final String LASTING = "[{\"count\":2,\"cpu\":2000,\"requested-memory-mb\":1024,\"estimated-ms\":1000,"
            + "\"long-running\":true,\"anti-affinity\":1}]";
    private static final String HOPELESS = "[{\"count\":2,\"cpu\":32000,\"requested-memory-mb\":1024,\"estimated-ms\":5000}]";
    private static final String SMALL = "[{\"count\":1,\"cpu\":1000,\"requested-memory-mb\":256,\"estimated-ms\":1000}]";
    private static final long FINISH_MS = 14_000;
    private static final long IDLE_MS = 3_000;

    private HopelessClaim() {}

    static boolean holds(RunRecord record, Path directory, boolean trouble) throws Exception {
        try (Cluster c = new Cluster(record, directory, 2, 2, 200, 0)) {
            String lasting = c.newId();
            String hopeless = c.newId();
            String small = c.newId();
            LargeRow.accepted(c.submit(Cluster.NORMAL, lasting, Cluster.KEY_B, "lasts", LASTING, ""));
            c.await("a lasting subtask is on each runner", 15_000, () -> c.runners.stream()
                    .allMatch(r -> r.runningNow().size() == 1));
            if (trouble) {
                LargeRow.accepted(c.submit(Cluster.NORMAL, hopeless, Cluster.KEY_B, "work=5000", HOPELESS, ""));
            }
            Thread.sleep(1_000);
            LargeRow.accepted(c.submit(Cluster.NORMAL, small, Cluster.KEY_A, "work=1000", SMALL, ""));
            record.note("the traffic ends");
            Thread.sleep(FINISH_MS);
            long startMs = record.nowMs();
            boolean idle = true;
            while (record.nowMs() - startMs < IDLE_MS) {
                idle &= record.running(small) == 0;
                Thread.sleep(50);
            }
            String state = c.state(Cluster.NORMAL, small, Cluster.KEY_A);
            record.note("runs of the small job: " + record.runs(small).size() + "; none for 3 s: " + idle + "; state "
                    + state + "; at work " + record.running("") + " subtasks of 2 of 32 cores each on 2 runners");
            return !(idle && !state.equals("completed"));
        }
    }
}
