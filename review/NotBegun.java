package second;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

import second.MiniHttp.Answer;

/** Jobs are placed on a worker whose node is cut off; none of them begins, and the count of waiting jobs lacks them. */
final class NotBegun implements CaseMain.Case {
    private static final int JOBS = 8;
    private static final int AGENTS = 6;
    private static final long CUT_MS = 5_500;
    /** {@code visible_ms} and 2 s. */
    private static final long VISIBLE_MS = 5_000;

    @Override
    public boolean broken(ProgramCluster c, boolean trouble) throws Exception {
        Set<String> cut = ConcurrentHashMap.newKeySet();
        c.store.disturbance = (process, call, perform) -> {
            Answer a = cut.contains(process) ? Answer.silent() : perform.perform();
            return cut.contains(process) ? Answer.silent() : a;
        };
        c.start(3, AGENTS);
        // All runners but one are full for the whole case.
        List<String> full = new ArrayList<>();
        for (int i = 100; i < 99 + AGENTS; i++) {
            full.add(ProgramCluster.id(i));
            c.submit("e1", ProgramCluster.id(i), ProgramCluster.job("work=60000", ProgramCluster.step(8, 60_000)));
        }
        c.await(10_000, "the long jobs run", () -> full.stream().allMatch(j -> workerOf(c, j) != null));
        Set<String> busy = full.stream().map(j -> workerOf(c, j)).collect(Collectors.toSet());
        String free = c.workers.keySet().stream()
                .filter(a -> !busy.contains(a))
                .findFirst()
                .orElseThrow();
        if (trouble) {
            cut.add(free);
            c.record.log("the node of " + free + " is cut off for " + CUT_MS + " ms");
        }
        long cutMs = c.record.nowMs();
        Thread.sleep(50);
        List<Thread> consumers = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = ProgramCluster.id(i);
            String entry = "e" + (1 + i % 3);
            Thread t = new Thread(
                    () -> c.call(entry, "POST", id, ProgramCluster.job("work=60000", ProgramCluster.step(1, 60_000))));
            t.start();
            consumers.add(t);
        }
        for (Thread t : consumers) {
            t.join();
        }
        long acceptedMs = c.record.nowMs();
        boolean broken = false;
        while (c.record.nowMs() < acceptedMs + VISIBLE_MS + 5_000) {
            if (c.record.nowMs() > cutMs + CUT_MS && cut.remove(free)) {
                c.record.log("the cut is healed");
            }
            if (c.record.nowMs() <= acceptedMs + VISIBLE_MS) {
                Thread.sleep(10);
                continue;
            }
            for (String e : c.entries()) {
                // Counted before and after the call; the smaller number is the consumers' bound.
                long before = notBegun(c);
                ProgramCluster.Reply r = c.call(e, "GET", "", "");
                long waiting = Math.min(before, notBegun(c));
                int pending = r.status() == 200 ? RowStore.JSON.readTree(r.body()).path("pending").asInt() : JOBS;
                if (pending * 2 < waiting) {
                    c.record.log(e + " gives " + pending + " as pending; " + waiting + " jobs accepted over "
                            + VISIBLE_MS + " ms ago have not begun");
                    broken = true;
                }
            }
            if (broken && notBegun(c) == 0) {
                break;
            }
            Thread.sleep(100);
        }
        return broken;
    }

    private static long notBegun(ProgramCluster c) {
        long n = 0;
        for (int i = 0; i < JOBS; i++) {
            n += workerOf(c, ProgramCluster.id(i)) == null ? 1 : 0;
        }
        return n;
    }

    private static String workerOf(ProgramCluster c, String id) {
        return c.workers.entrySet().stream()
                .filter(w -> w.getValue().hasRun(id))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }
}
