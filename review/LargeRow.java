package review;

import java.nio.file.Path;

/**
 * A job of 40 subtasks whose specification has 4,000 bytes, as long as the page allows. The scheduler writes all orders
 * of a runner, each with its specification, into one row; the store takes rows of 65,536 bytes at most.
 */
final class LargeRow {
    private static final String LARGE = "[{\"count\":40,\"cpu\":1000,\"requested-memory-mb\":512,\"estimated-ms\":1500}]";
    private static final String SMALL = "[{\"count\":2,\"cpu\":500,\"requested-memory-mb\":256,\"estimated-ms\":900}]";
    private static final int SPECIFICATION_BYTES = 4_000;
    private static final long FINISH_MS = 14_000;
    private static final long IDLE_MS = 3_000;

    private LargeRow() {}

    static boolean holds(RunRecord record, Path directory, boolean trouble) throws Exception {
        try (Cluster c = new Cluster(record, directory, 2, 2, 200, 0)) {
            String first = c.newId();
            String large = c.newId();
            String last = c.newId();
            accepted(c.submit(Cluster.NORMAL, first, Cluster.KEY_B, "work=1000", SMALL, ""));
            c.awaitState(Cluster.NORMAL, first, Cluster.KEY_B, "completed", 10_000);
            int bytes = trouble ? SPECIFICATION_BYTES : SPECIFICATION_BYTES / 10;
            String head = "work=1500;";
            accepted(c.submit(
                    Cluster.BATCH, large, Cluster.KEY_A, head + "x".repeat(bytes - head.length()), LARGE, ""));
            Thread.sleep(1_000);
            accepted(c.submit(Cluster.NORMAL, last, Cluster.KEY_B, "work=1000", SMALL, ""));
            record.note("the traffic ends");
            Thread.sleep(FINISH_MS);
            long startMs = record.nowMs();
            boolean idle = true;
            while (record.nowMs() - startMs < IDLE_MS) {
                idle &= record.running("") == 0;
                Thread.sleep(50);
            }
            String largeState = c.state(Cluster.BATCH, large, Cluster.KEY_A);
            String lastState = c.state(Cluster.NORMAL, last, Cluster.KEY_B);
            record.note("transactions refused for the size of a row: " + c.store.refusedForSize());
            record.note("runs of the large job: " + record.runs(large).size() + ", of the last job: "
                    + record.runs(last).size() + "; all runners idle for 3 s: " + idle);
            for (Node n : c.nodes.values()) {
                n.logLines("event=leadership-lost").stream().limit(2).forEach(l -> record.note(n.name + " logs " + l));
            }
            boolean largeStuck = idle && !largeState.equals("completed") && !largeState.equals("failed");
            boolean lastStuck = idle && !lastState.equals("completed") && !lastState.equals("failed");
            return !largeStuck && !lastStuck;
        }
    }

    static void accepted(boolean accepted) {
        if (!accepted) {
            throw new Cluster.CannotRun("a job was not accepted");
        }
    }
}
