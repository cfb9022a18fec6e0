package second;

/** One heartbeat from another writer, of a service that no config names, comes for each runner. */
final class OddHeartbeat implements CaseMain.Case {
    private static final long FINISH_MS = 14_000;
    private static final long HANG_MS = 3_000;

    @Override
    public boolean broken(ProgramCluster c, boolean trouble) throws Exception {
        c.start(3, 2);
        c.submit("e1", ProgramCluster.id(1), ProgramCluster.job("work=500", ProgramCluster.step(1, 500)));
        c.await(10_000, "a job runs before", () -> ran(c, ProgramCluster.id(1)));
        if (trouble) {
            for (Worker w : c.workers.values()) {
                c.record.log("another writer: heartbeat of " + w.instance()
                        + ", service \"elsewhere\", sequence 1000000; answered "
                        + w.announceAs("elsewhere", 1_000_000));
            }
        }
        // Two heartbeats of the runners themselves.
        Thread.sleep(3_500);
        String id = ProgramCluster.id(2);
        c.submit("e1", id, ProgramCluster.job("work=500", ProgramCluster.step(1, 500)));
        c.record.log("the traffic ends");
        long endMs = c.record.nowMs();
        while (!ran(c, id)) {
            if (c.record.nowMs() > endMs + FINISH_MS + HANG_MS) {
                c.call("e2", "GET", id, "");
                c.record.log("for the last " + HANG_MS + " ms the job has had nothing running, both runners are empty, "
                        + FINISH_MS + " ms and more after the end of the traffic");
                c.record.log("heartbeats of the runners themselves, in all: " + c.workers.values().stream()
                        .map(w -> w.instance() + " " + w.confirmedHeartbeats())
                        .toList() + " confirmed");
                return true;
            }
            Thread.sleep(20);
        }
        return false;
    }

    private static boolean ran(ProgramCluster c, String id) {
        return c.workers.values().stream().anyMatch(w -> w.hasRun(id));
    }
}
