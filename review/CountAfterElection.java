package second;

/** The process that last wrote to the store under a condition is killed while jobs wait. */
final class CountAfterElection implements CaseMain.Case {
    private static final int JOBS = 10;
    private static final long VISIBLE_MS = 5_000;

    @Override
    public boolean broken(ProgramCluster c, boolean trouble) throws Exception {
        c.start(3, 2);
        for (int i = 0; i < 2; i++) {
            c.submit("e1", ProgramCluster.id(100 + i), ProgramCluster.job("work=100000", ProgramCluster.step(8, 60_000)));
        }
        c.await(5_000, "the workers are full", () -> c.workers.values().stream()
                .allMatch(w -> w.hasRun(ProgramCluster.id(100)) || w.hasRun(ProgramCluster.id(101))));
        for (int i = 0; i < JOBS; i++) {
            c.submit("e1", ProgramCluster.id(i), ProgramCluster.job("work=5000", ProgramCluster.step(1, 5_000)));
        }
        Thread.sleep(VISIBLE_MS + 1_500);
        String leader = RowStore.JSON.readTree(c.store.value("leader", "", "term")).path("holder").asText();
        if (trouble) {
            c.kill(leader);
        }
        long killedMs = c.record.nowMs();
        boolean restarted = false;
        boolean broken = false;
        String last = "";
        while (c.record.nowMs() < killedMs + 10_000) {
            for (String e : c.entries()) {
                if (e.equals(leader)) {
                    continue;
                }
                ProgramCluster.Reply r = c.call(e, "GET", "", "", false);
                int pending = r.status() == 200 ? RowStore.JSON.readTree(r.body()).path("pending").asInt() : -1;
                String now = e + " " + r.status() + " " + r.body();
                if (!now.substring(2).equals(last)) {
                    last = now.substring(2);
                    c.record.log("consumer at " + e + ": GET " + ProgramCluster.PREFIX + " -> " + r.status() + " " + r.body());
                }
                if (r.status() == 200 && pending * 2 < JOBS) {
                    c.record.log(e + ", which was not disturbed, gives " + pending + " as pending; " + JOBS
                            + " jobs accepted over " + VISIBLE_MS + " ms ago have not begun");
                    broken = true;
                }
            }
            if (trouble && !restarted && c.record.nowMs() > killedMs + 500) {
                restarted = true;
                c.launch(leader);
            }
            Thread.sleep(10);
        }
        c.record.log("who leads now: " + c.store.value("leader", "", "term"));
        return broken;
    }
}
