package third;

import java.util.ArrayList;
import java.util.List;

/** Many jobs come at once on a queue with advice. */
final class LateTickets implements Case.Body {
    private static final int JOBS = 21;
    private static final int RUNNERS = 11;
    private static final long BURST_GAP_MS = 190;
    private static final long USUAL_GAP_MS = 1_000;
    private static final long FINISH_MS = 14_000;
    private static final long STUCK_MS = 3_000;

    @Override
    public boolean holds(Nodes3 nodes, Log log, boolean trouble) throws Exception {
        Advisor3 advisor = new Advisor3(log, 100, 20, 3_000);
        new Config3()
                .route("advised", "/advised/", 1, false)
                .advice(100, 20, 3_000)
                .tenant("team-a", "key-a", 16)
                .put(nodes, 1);
        for (int i = 1; i <= 3; i++) {
            nodes.addEntry("e" + i, "z" + i, "advice=" + advisor.address());
        }
        for (int i = 1; i <= RUNNERS; i++) {
            nodes.addAgent("a" + i, "z" + (1 + i % 3), "r" + (1 + i / 3));
        }
        nodes.runners.values().forEach(r -> r.requireTickets(advisor));
        nodes.awaitReady("key-a", "/advised/");

        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", 0xa0 + i);
            long sentMs = log.nowMs();
            if (nodes.submit("key-a", "/advised/" + id, "{\"specification\":\"work=1000\",\"steps\":[{\"count\":1,\"cpu\":500,"
                    + "\"requested-memory-mb\":256,\"estimated-ms\":1000}]}")) {
                accepted.add(id);
            }
            Thread.sleep(Math.max(0, (trouble ? BURST_GAP_MS : USUAL_GAP_MS) - (log.nowMs() - sentMs)));
        }
        log.line("end of the traffic");
        Thread.sleep(FINISH_MS);
        int before = Checks.running(nodes);
        Thread.sleep(STUCK_MS);
        log.line("%d subtasks run on %d runners, %d did 3 s before", Checks.running(nodes), RUNNERS, before);
        for (String id : accepted) {
            nodes.call("e2", "key-a", "GET", "/advised/" + id, "", 3_000);
        }
        return Checks.allStarted(log, accepted);
    }
}
