package second;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import second.MiniHttp.Answer;

/**
 * The settings files change to another lease, some processes start again, and later the store turns one machine away.
 */
final class ChangedLease implements CaseMain.Case {
    private static final long CUT_MS = 9_000;

    private final long beforeMs;
    private final long afterMs;

    ChangedLease(long beforeMs, long afterMs) {
        this.beforeMs = beforeMs;
        this.afterMs = afterMs;
    }

    private static String line(long ms) {
        return "bounds.max-hold-ms=" + ms;
    }

    @Override
    public boolean broken(ProgramCluster c, boolean trouble) throws Exception {
        Set<String> cut = ConcurrentHashMap.newKeySet();
        c.store.disturbance =
                (process, call, perform) -> cut.contains(process) ? Answer.of(503, "") : perform.perform();
        c.maxHoldMs = beforeMs;
        c.start(3, 3);
        String id = ProgramCluster.id(1);
        String task = id + ".0.0.0";
        c.submit("e1", id, ProgramCluster.job("work=60000", ProgramCluster.step(1, 60_000)));
        c.await(5_000, "the job runs", () -> c.workers.values().stream().anyMatch(w -> w.atWork(task) > 0));
        String agent = at(c, task).get(0);
        if (trouble) {
            c.workers.values().forEach(w -> w.maxHoldMs = afterMs);
            for (String e : c.entries()) {
                c.change(e, line(beforeMs), line(afterMs), e.equals("e1"));
            }
            for (String a : c.workers.keySet()) {
                c.change(a, line(beforeMs), line(afterMs), false);
            }
            Thread.sleep(3_000);
            // Those whose restart makes the scheduler count with less than the agent grants.
            List<String> restarted = afterMs > beforeMs ? List.of(agent) : c.entries();
            for (String p : restarted) {
                c.kill(p);
            }
            Thread.sleep(500);
            for (String p : restarted) {
                c.launch(p);
            }
            Thread.sleep(8_000);
            cut.add(agent);
            c.record.log("the store turns the machine of " + agent + " away with 503 for " + CUT_MS + " ms");
        }
        long cutMs = c.record.nowMs();
        long twiceMs = 0;
        while (c.record.nowMs() < cutMs + CUT_MS + 3_000) {
            if (c.record.nowMs() > cutMs + CUT_MS) {
                cut.clear();
            }
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
    private static List<String> at(ProgramCluster c, String task) {
        return c.workers.entrySet().stream()
                .filter(w -> w.getValue().atWork(task) > 0)
                .map(Map.Entry::getKey)
                .toList();
    }
}
