package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A subtask that lasts is at work on each runner. A job comes whose subtasks need whole runners, so that it can't be
 * done, and within three seconds 20 small ones on the same route.
 */
final class HopelessClaim {
    private static final String LASTING = "[{\"count\":2,\"cpu\":2000,\"requested-memory-mb\":1024,\"estimated-ms\":1000,"
            + "\"long-running\":true,\"anti-affinity\":1}]";
    private static final String HOPELESS = "[{\"count\":2,\"cpu\":32000,\"requested-memory-mb\":1024,\"estimated-ms\":5000}]";
    private static final String SMALL = "[{\"count\":1,\"cpu\":1000,\"requested-memory-mb\":256,\"estimated-ms\":1000}]";
    private static final int SMALL_JOBS = 20;
    private static final long PAUSE_MS = 140;
    private static final long FINISH_MS = 14_000;
    private static final long IDLE_MS = 3_000;

    private HopelessClaim() {}

    static boolean holds(RunRecord record, Path directory, boolean trouble) throws Exception {
        try (Cluster c = new Cluster(record, directory, 2, 2, 200, 0)) {
            String lasting = c.newId();
            String hopeless = c.newId();
            List<String> small = new ArrayList<>();
            LargeRow.accepted(c.submit(Cluster.NORMAL, lasting, Cluster.KEY_B, "lasts", LASTING, ""));
            c.await("a lasting subtask is on each runner", 15_000, () -> c.runners.stream()
                    .allMatch(r -> r.runningNow().size() == 1));
            if (trouble) {
                LargeRow.accepted(c.submit(Cluster.NORMAL, hopeless, Cluster.KEY_B, "work=5000", HOPELESS, ""));
            }
            for (int i = 0; i < SMALL_JOBS; i++) {
                String id = c.newId();
                LargeRow.accepted(c.submit(Cluster.NORMAL, id, Cluster.KEY_A, "work=1000", SMALL, ""));
                small.add(id);
                Thread.sleep(PAUSE_MS);
            }
            record.note("the traffic ends");
            Thread.sleep(FINISH_MS);
            long startMs = record.nowMs();
            boolean idle = true;
            while (record.nowMs() - startMs < IDLE_MS) {
                idle &= small.stream().allMatch(id -> record.running(id) == 0);
                Thread.sleep(50);
            }
            long open = 0;
            for (String id : small) {
                open += c.state(Cluster.NORMAL, id, Cluster.KEY_A).equals("completed") ? 0 : 1;
            }
            record.note("small jobs not completed: " + open + " of " + SMALL_JOBS + "; none at work for 3 s: " + idle
                    + "; at work " + record.running("") + " subtasks of 2 of 32 cores each on 2 runners");
            return !(idle && open > 0);
        }
    }
}
