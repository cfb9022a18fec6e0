package review;

import java.nio.file.Path;
import java.util.List;

/** A runner is emptied and taken away. As it says that it leaves, its agent is frozen, so that it gets no confirmation. */
final class UnconfirmedLeave {
    private static final String STEPS = "[{\"count\":4,\"cpu\":4000,\"requested-memory-mb\":1024,\"estimated-ms\":12000}]";
    private static final long DRAIN_MS = 2_300;
    private static final long FREEZE_MS = 3_500;
    private static final long UNTIL_DEREGISTER_MS = 500;
    private static final long UNCONFIRMED_MS = 4_000;

    private UnconfirmedLeave() {}

    static boolean holds(RunRecord record, Path directory, boolean trouble) throws Exception {
        try (Cluster c = new Cluster(record, directory, 3, 14, 200, 0)) {
            String id = c.newId();
            LargeRow.accepted(c.submit(Cluster.NORMAL, id, Cluster.KEY_A, "work=12000", STEPS, ""));
            c.await("all subtasks run", 10_000, () -> record.running(id) == 4);
            Runner runner = c.runners.stream().filter(r -> !r.runningNow().isEmpty()).findFirst().orElseThrow();
            Node agent = c.nodes.get("side-" + (c.runners.indexOf(runner) + 1));
            runner.drain();
            Thread.sleep(DRAIN_MS);
            Thread thaw = new Thread(() -> thaw(agent));
            if (trouble) {
                agent.signal("STOP");
                thaw.start();
            }
            Thread.sleep(UNTIL_DEREGISTER_MS);
            runner.leave(UNCONFIRMED_MS);
            thaw.join();
            c.awaitState(Cluster.NORMAL, id, Cluster.KEY_A, "completed", 60_000);
            List<String> overlaps = record.overlaps();
            overlaps.forEach(o -> record.note("TWICE at the same time: " + o));
            return overlaps.isEmpty();
        }
    }

    private static void thaw(Node agent) {
        try {
            Thread.sleep(FREEZE_MS);
            agent.signal("CONT");
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
