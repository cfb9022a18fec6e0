package second;

import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import second.MiniHttp.Answer;

/** A job is cancelled while the write that accepts it is unanswered; the store carries the write out later. */
final class LateAccept implements CaseMain.Case {
    private static final long LATE_MS = 6_000;
    private static final long CANCEL_MS = 3_000;

    @Override
    public boolean broken(ProgramCluster c, boolean trouble) throws Exception {
        c.start(3, 2);
        String id = ProgramCluster.id(1);
        AtomicBoolean left = new AtomicBoolean(trouble);
        c.store.disturbance = (process, call, perform) -> {
            if (!call.path().equals("/rows-tx")) {
                return perform.perform();
            }
            JsonNode tx = RowStore.JSON.readTree(call.body());
            boolean accepts = tx.path("writes").size() == 1
                    && tx.path("writes").get(0).path("table").asText().equals("jobs")
                    && tx.path("writes").get(0).path("key").asText().equals(id);
            if (!accepts || !left.getAndSet(false)) {
                return perform.perform();
            }
            c.record.log("store: the write of jobs/" + id + " by " + process + " is left unanswered");
            Thread late = new Thread(() -> {
                try {
                    Thread.sleep(LATE_MS);
                    c.record.log("store: carries out that write: status " + c.store.transact(tx).status());
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            late.setDaemon(true);
            late.start();
            return Answer.silent();
        };
        c.call("e1", "POST", id, ProgramCluster.job("work=20000", ProgramCluster.step(1, 20_000)));
        // The consumer has no use for the job any more.
        ProgramCluster.Reply cancelled = null;
        for (int i = 0; i < 10; i++) {
            cancelled = c.call("e" + (2 + i % 2), "DELETE", id, "");
            if (cancelled.status() == 200 || cancelled.status() == 410) {
                break;
            }
            Thread.sleep(300);
        }
        if (cancelled.status() != 200 && cancelled.status() != 410) {
            throw new IllegalStateException("the cancelling was not confirmed: " + cancelled);
        }
        long ackMs = c.record.nowMs();
        c.record.log("the cancelling is confirmed; no subtask may begin later than " + CANCEL_MS + " ms from now");
        Thread.sleep(CANCEL_MS);
        boolean before = hasRun(c, id);
        while (c.record.nowMs() < ackMs + 15_000) {
            if (!before && hasRun(c, id)) {
                c.record.log("a subtask of the cancelled job began " + (c.record.nowMs() - ackMs)
                        + " ms after the confirmation");
                c.call("e3", "GET", id, "");
                Thread.sleep(1_500);
                return true;
            }
            Thread.sleep(20);
        }
        return false;
    }

    private static boolean hasRun(ProgramCluster c, String id) {
        return c.workers.values().stream().anyMatch(w -> w.hasRun(id));
    }
}
