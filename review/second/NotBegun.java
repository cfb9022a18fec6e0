package second;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import second.MiniHttp.Answer;

/** Jobs are placed on a worker whose node is cut off; none of them begins, and the count of waiting jobs lacks them. */
final class NotBegun implements Main.Case {
    private static final int JOBS = 8;
    private static final long CUT_MS = 12_000;
    /** {@code visible_ms} and 2 s. */
    private static final long VISIBLE_MS = 5_000;

    @Override
    public boolean broken(Cluster c, boolean trouble) throws Exception {
        Set<String> cut = ConcurrentHashMap.newKeySet();
        c.store.disturbance = (process, call, perform) -> {
            Answer a = cut.contains(process) ? Answer.silent() : perform.perform();
            return cut.contains(process) ? Answer.silent() : a;
        };
        c.start(3, 3);
        // Two of three workers are full for the whole case.
        for (int i = 100; i < 102; i++) {
            c.submit("e1", Cluster.id(i), Cluster.job("work=60000", Cluster.step(8, 60_000)));
        }
        c.await(
                5_000,
                "the long jobs run",
                () -> workerOf(c, Cluster.id(100)) != null && workerOf(c, Cluster.id(101)) != null);
        Set<String> busy = Set.of(workerOf(c, Cluster.id(100)), workerOf(c, Cluster.id(101)));
        String free = c.workers.keySet().stream().filter(a -> !busy.contains(a)).findFirst().orElseThrow();
        if (trouble) {
            cut.add(free);
            c.record.log("the node of " + free + " is cut off for " + CUT_MS + " ms");
        }
        long cutMs = c.record.nowMs();
        Thread.sleep(200);
        for (int i = 0; i < JOBS; i++) {
            c.submit("e1", Cluster.id(i), Cluster.job("work=60000", Cluster.step(1, 60_000)));
        }
        long acceptedMs = c.record.nowMs();
        boolean broken = false;
        while (c.record.nowMs() < cutMs + CUT_MS) {
            for (String e : c.entries()) {
                boolean old = c.record.nowMs() > acceptedMs + VISIBLE_MS;
                // Counted before and after the call; the smaller number is the consumers' bound.
                long before = notBegun(c);
                Cluster.Reply r = c.call(e, "GET", "", "", old);
                long waiting = Math.min(before, notBegun(c));
                if (old && r.status() == 200) {
                    int pending = Store.JSON.readTree(r.body()).path("pending").asInt();
                    if (pending * 2 < waiting) {
                        c.record.log(e + " gives " + pending + " as pending; " + waiting
                                + " jobs accepted over " + VISIBLE_MS + " ms ago have not begun");
                        broken = true;
                    }
                }
            }
            Thread.sleep(500);
        }
        if (!broken && trouble) {
            c.record.log("jobs not begun at the end: " + notBegun(c));
        }
        c.call("e1", "GET", Cluster.id(0), "");
        return broken;
    }

    private static long notBegun(Cluster c) {
        long n = 0;
        for (int i = 0; i < JOBS; i++) {
            n += workerOf(c, Cluster.id(i)) == null ? 1 : 0;
        }
        return n;
    }

    private static String workerOf(Cluster c, String id) {
        return c.workers.entrySet().stream()
                .filter(w -> w.getValue().hasRun(id))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }
}
