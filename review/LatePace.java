package second;

import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import second.MiniHttp.Answer;

/** A runner leaves one order to pace what fills unanswered and carries it out late. */
final class LatePace implements CaseMain.Case {
    private static final long LATE_MS = 10_000;
    private static final long INTERFERENCE_MS = 4_000;
    private static final long TARGET_MS = 100;

    @Override
    public boolean broken(ProgramCluster c, boolean trouble) throws Exception {
        c.start(2, 1);
        Worker w = c.workers.get("a1");
        AtomicBoolean left = new AtomicBoolean(trouble);
        long[] lateAtMs = {Long.MAX_VALUE};
        w.disturbance = (call, body, perform) -> {
            if (!call.path().equals("/pace") || !left.getAndSet(false)) {
                return perform.perform();
            }
            c.record.log("runner: leaves the order to pace at " + body.path("percentage") + " unanswered");
            JsonNode order = body.deepCopy();
            Thread late = new Thread(() -> {
                try {
                    Thread.sleep(LATE_MS);
                    c.record.log("runner: carries that order out");
                    w.perform("/pace", order);
                    lateAtMs[0] = c.record.nowMs();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            late.setDaemon(true);
            late.start();
            return Answer.silent();
        };
        String serving = "{\"count\":1,\"cpu\":8000,\"gpu\":4,\"long-running\":true,\"image\":\"s\","
                + "\"target-ms\":" + TARGET_MS + "}";
        String filling = "{\"count\":1,\"cpu\":8000,\"gpu\":1,\"long-running\":true,\"image\":\"f\",\"fills\":true}";
        c.submit("e1", ProgramCluster.id(1), ProgramCluster.job("serves=95", serving));
        c.await(5_000, "the serving subtask is at work", () -> w.latencyMs(true) > 0);
        c.submit("e1", ProgramCluster.id(2), ProgramCluster.job("disturbs=40", filling));
        long startMs = c.record.nowMs();
        long overSinceMs = -1;
        while (c.record.nowMs() < startMs + 40_000) {
            boolean over = w.latencyMs(true) > TARGET_MS && w.latencyMs(false) <= TARGET_MS;
            if (!over) {
                overSinceMs = -1;
            } else if (overSinceMs < 0) {
                overSinceMs = c.record.nowMs();
                c.record.log("the serving subtask is over its target: " + w.latencyMs(true) + " ms");
            } else if (c.record.nowMs() - overSinceMs > INTERFERENCE_MS) {
                boolean calm = c.record.nowMs() - lateAtMs[0] > 0 || !trouble;
                c.record.log("over its target for " + INTERFERENCE_MS
                        + " ms on end, by what fills beside it alone; calm: " + calm);
                Thread.sleep(8_000);
                c.record.log("8 s later: " + w.latencyMs(true) + " ms, without what fills " + w.latencyMs(false)
                        + " ms; pace " + w.fillerPace());
                return true;
            }
            Thread.sleep(20);
        }
        return false;
    }
}
