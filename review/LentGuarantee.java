package third;

/** A tenant asks for its guarantee after another tenant's urgent job has taken what was idle. */
final class LentGuarantee implements Case.Body {
    private static final long RECLAIM_MS = 2_900;
    private static final int RUNNERS = 4;
    private static final int GPUS = 8 * RUNNERS;

    @Override
    public boolean holds(Nodes3 nodes, Log log, boolean trouble) throws Exception {
        new Config3()
                .route("urgent", "/urgent/", 0, false)
                .tenant("team-a", "key-a", 16)
                .tenant("team-b", "key-b", 8)
                .put(nodes, 1);
        for (int i = 1; i <= 3; i++) {
            nodes.addEntry("e" + i, "z" + i);
        }
        for (int i = 1; i <= RUNNERS; i++) {
            nodes.addAgent("a" + i, "z" + (1 + i % 3), "r" + (1 + i % 2));
        }
        nodes.awaitReady("key-a", "/urgent/");

        int lent = trouble ? GPUS : GPUS - 16;
        String lasting = "{\"specification\":\"lasts=1\",\"steps\":[{\"count\":" + lent
                + ",\"cpu\":500,\"requested-memory-mb\":256,\"gpu\":1,\"long-running\":true}]}";
        nodes.submit("key-b", "/urgent/00000000000000b1", lasting);
        nodes.await("the job of team-b runs", 10_000, () -> Checks.starts(log, "00000000000000b1") >= lent);
        Thread.sleep(4_000);

        String own = "{\"specification\":\"work=1000\",\"steps\":[{\"count\":2,\"cpu\":500,"
                + "\"requested-memory-mb\":256,\"gpu\":4,\"estimated-ms\":1000}]}";
        if (!nodes.submit("key-a", "/urgent/00000000000000a1", own)) {
            throw new IllegalStateException("the job of team-a was not accepted");
        }
        Thread.sleep(RECLAIM_MS);
        long begun = Checks.starts(log, "00000000000000a1");
        log.line("%d of 2 subtasks of team-a have begun %d ms after the confirmation", begun, RECLAIM_MS);
        nodes.call("e2", "key-a", "GET", "/urgent/00000000000000a1", "", 3_000);
        if (begun < 2) {
            Thread.sleep(30_000);
            log.line("%d of 2 have begun 30 s later", Checks.starts(log, "00000000000000a1"));
            nodes.call("e3", "key-a", "GET", "/urgent/00000000000000a1", "", 3_000);
        }
        return begun >= 2;
    }
}
