package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A runner crashes and starts again 1.4 s later under the identifier that it had, while jobs come in. Its agent goes on
 * to send it the orders of its earlier life.
 */
final class RebornRunner {
    private static final String STEPS = "[{\"count\":1,\"cpu\":2000,\"requested-memory-mb\":256,\"estimated-ms\":4000}]";
    private static final long DOWN_MS = 1_400;
    private static final int JOBS = 12;
    private static final long PAUSE_MS = 150;
    /** How long after its start a runner announces itself, in milliseconds; it goes on each 1,500 ms. */
    private static final long FIRST_HEARTBEAT_MS = 200;

    private RebornRunner() {}

    static boolean holds(RunRecord record, Path directory, boolean trouble) throws Exception {
        try (Cluster c = new Cluster(record, directory, 3, 11, 200, FIRST_HEARTBEAT_MS)) {
            List<String> jobs = new ArrayList<>();
            // The runner with the most at work is filled first, so the next orders go to it.
            hand(c, jobs);
            c.await("the first subtask runs", 10_000, () -> record.running("") == 1);
            Runner runner = c.runners.stream().filter(r -> !r.runningNow().isEmpty()).findFirst().orElseThrow();
            Thread restart = new Thread(() -> crashAndRestart(runner));
            if (trouble) {
                restart.start();
            }
            for (int i = 1; i < JOBS; i++) {
                hand(c, jobs);
                Thread.sleep(PAUSE_MS);
            }
            restart.join();
            for (String id : jobs) {
                c.awaitState(Cluster.NORMAL, id, Cluster.KEY_A, "completed", 40_000);
            }
            List<String> overlaps = record.overlaps();
            overlaps.forEach(o -> record.note("TWICE at the same time: " + o));
            return overlaps.isEmpty();
        }
    }

    private static void hand(Cluster c, List<String> jobs) throws InterruptedException {
        String id = c.newId();
        LargeRow.accepted(c.submit(Cluster.NORMAL, id, Cluster.KEY_A, "work=4000", STEPS, ""));
        jobs.add(id);
    }

    private static void crashAndRestart(Runner runner) {
        try {
            runner.crash();
            Thread.sleep(DOWN_MS);
            runner.restart();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
