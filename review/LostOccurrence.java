package review;

import java.nio.file.Path;
import java.util.Set;

/**
 * A job of an advised queue runs twice by schedule. The runner that may run occurrence 0 is taken by other work, so
 * occurrence 1 starts first. Then the process that leads is killed.
 */
final class LostOccurrence {
    private static final String WHOLE = "[{\"count\":1,\"cpu\":32000,\"requested-memory-mb\":1024,\"estimated-ms\":12000}]";
    private static final String STEPS = "[{\"count\":1,\"cpu\":1000,\"requested-memory-mb\":256,\"estimated-ms\":1000}]";
    private static final long FINISH_MS = 14_000;
    private static final long IDLE_MS = 3_000;

    private LostOccurrence() {}

    static boolean holds(RunRecord record, Path directory, boolean trouble) throws Exception {
        try (Cluster c = new Cluster(record, directory, 2, 3, 200, 0)) {
            String busy = c.newId();
            LargeRow.accepted(c.submit(Cluster.NORMAL, busy, Cluster.KEY_B, "work=12000", WHOLE, ""));
            c.await("a runner is taken", 10_000, () -> record.running(busy) == 1);
            Runner taken = c.runners.stream().filter(r -> !r.runningNow().isEmpty()).findFirst().orElseThrow();
            Runner other = c.runners.stream().filter(r -> r != taken).findFirst().orElseThrow();
            String timed = c.newId();
            c.advisor.approve(timed + ".0.0", Set.of(taken.identifier));
            c.advisor.approve(timed + ".1.0", Set.of(other.identifier));
            long firstMs = System.currentTimeMillis() + 500;
            LargeRow.accepted(c.submit(Cluster.ADVISED, timed, Cluster.KEY_A, "work=1000", STEPS,
                    ",\"repetitions\":2,\"first-run-ms\":" + firstMs + ",\"interval-ms\":1000"));
            c.await("occurrence 1 has run", 10_000, () -> ended(record, timed + ".1."));
            Thread.sleep(1_000);
            if (trouble) {
                String leader = c.leader();
                if (leader.isEmpty()) {
                    throw new Cluster.CannotRun("no entry leads");
                }
                c.nodes.get(leader).kill();
                c.nodes.get(leader).start();
            }
            record.note("the traffic ends");
            c.awaitState(Cluster.NORMAL, busy, Cluster.KEY_B, "completed", 30_000);
            Thread.sleep(FINISH_MS);
            long startMs = record.nowMs();
            boolean idle = true;
            while (record.nowMs() - startMs < IDLE_MS) {
                idle &= record.running("") == 0;
                Thread.sleep(50);
            }
            String state = c.state(Cluster.ADVISED, timed, Cluster.KEY_A);
            record.note("runs of occurrence 0: " + record.runs(timed + ".0.").size() + ", of occurrence 1: "
                    + record.runs(timed + ".1.").size() + "; all runners idle for 3 s: " + idle + "; state " + state);
            return !(idle && !state.equals("completed"));
        }
    }

    private static boolean ended(RunRecord record, String prefix) {
        return record.runs(prefix).stream().anyMatch(r -> r.how.equals("done"));
    }
}
