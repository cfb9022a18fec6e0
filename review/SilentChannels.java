package third;

/** The open channels of one machine to the store fall silent; a route is added once the machine is in touch again. */
final class SilentChannels implements Case.Body {
    private static final long CONTACT_MS = 3_000;
    private static final long APPLY_MS = 2_000;
    private static final long WATCH_MS = 12_000;

    @Override
    public boolean holds(Nodes3 nodes, Log log, boolean trouble) throws Exception {
        Config3 config = new Config3().route("jobs", "/jobs/", 1, true).tenant("team-a", "key-a", 8);
        config.put(nodes, 1);
        nodes.proxyStore();
        for (int i = 1; i <= 3; i++) {
            nodes.addEntry("e" + i, "z" + i);
        }
        for (int i = 1; i <= 4; i++) {
            nodes.addAgent("a" + i, "z" + (1 + i % 3), "r" + (1 + i % 2));
        }
        nodes.awaitReady("", "/jobs/");
        nodes.submit("", "/jobs/00000000000000a1", "{\"specification\":\"work=300\",\"steps\":[{\"count\":2,\"cpu\":500,"
                + "\"requested-memory-mb\":256}]}");
        Thread.sleep(2_000);

        String leader = nodes.leader();
        if (trouble) {
            log.line("%d open channels of %s to the store fall silent", nodes.proxies.get(leader).silence(), leader);
        }
        Thread.sleep(CONTACT_MS + 200);
        config.route("added", "/added/", 1, true).put(nodes, 2);
        long confirmedMs = log.nowMs();
        Thread.sleep(APPLY_MS + 50);
        int old = 0;
        while (log.nowMs() < confirmedMs + WATCH_MS) {
            for (String e : nodes.fronts.keySet()) {
                long sentMs = log.nowMs();
                Nodes3.Reply r = nodes.quietCall(e, "", "GET", "/added/", "", 1_000);
                if (r.status() == 404) {
                    old++;
                    log.line("%s answers 404 to GET /added/, sent %d ms after the confirmation", e, sentMs - confirmedMs);
                }
            }
            Thread.sleep(250);
        }
        for (String e : nodes.fronts.keySet()) {
            nodes.call(e, "", "GET", "/added/", "", 1_000);
        }
        log.line("%d requests were refused with 404 though the route was there", old);
        return old == 0;
    }
}
