package second;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import second.MiniHttp.Answer;

/** The settings files change to a longer lease, a process beside a runner is killed, and its node is then cut off. */
final class ChangedLease implements Main.Case {
    private static final String BEFORE = "bounds.max-hold-ms=6000";
    private static final String AFTER = "bounds.max-hold-ms=10000";
    private static final long CUT_MS = 12_000;

    @Override
    public boolean broken(Cluster c, boolean trouble) throws Exception {
        Set<String> cut = ConcurrentHashMap.newKeySet();
        c.store.disturbance = (process, call, perform) -> {
            Answer a = cut.contains(process) ? Answer.silent() : perform.perform();
            return cut.contains(process) ? Answer.silent() : a;
        };
        c.start(3, 3);
        String id = Cluster.id(1);
        String task = id + ".0.0.0";
        c.submit("e1", id, Cluster.job("work=60000", "{\"count\":1,\"cpu\":1000,\"gpu\":1,\"estimated-ms\":60000}"));
        c.await(5_000, "the job runs", () -> c.workers.values().stream().anyMatch(w -> w.atWork(task) > 0));
        String agent = at(c, task).get(0);
        if (trouble) {
            c.workers.values().forEach(w -> w.maxHoldMs = 10_000);
            for (String e : c.entries()) {
                c.change(e, BEFORE, AFTER, e.equals("e1"));
            }
            for (String a : c.workers.keySet()) {
                c.change(a, BEFORE, AFTER, false);
            }
            Thread.sleep(3_000);
            c.kill(agent);
            Thread.sleep(500);
            c.launch(agent);
            Thread.sleep(8_000);
            cut.add(agent);
            c.record.log("the node of " + agent + " is cut off for " + CUT_MS + " ms");
        }
        long cutMs = c.record.nowMs();
        long twiceMs = 0;
        while (c.record.nowMs() < cutMs + CUT_MS) {
            List<String> at = at(c, task);
            if (at.size() > 1 && twiceMs == 0) {
                twiceMs = c.record.nowMs();
                c.record.log("two runs of " + task + " are at work at a time: " + at.stream()
                        .map(a -> "run " + c.workers.get(a).atWork(task) + " on i-" + a)
                        .toList());
            }
            if (twiceMs > 0 && at.size() < 2) {
                c.record.log("one of the two runs ended, " + (c.record.nowMs() - twiceMs) + " ms later");
                return true;
            }
            Thread.sleep(20);
        }
        return twiceMs > 0;
    }

    /** Returns the agents on whose runners a run of a subtask is at work. */
    private static List<String> at(Cluster c, String task) {
        return c.workers.entrySet().stream()
                .filter(w -> w.getValue().atWork(task) > 0)
                .map(Map.Entry::getKey)
                .toList();
    }
}
