package second;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import second.MiniHttp.Answer;

/** Many jobs come while the store is slow and loses answers of writes, and then refuses all calls. */
final class FalseRefusal implements CaseMain.Case {
    private static final long SLOW_MS = 2_400;
    private static final long DOWN_MS = 2_200;
    private static final long CALM_MS = 2_500;
    private static final int CYCLES = 4;
    /** An answer in calm times takes 4 ms, a slow one 60 times as long. */
    private static final long SLOW_ANSWER_MS = 240;

    private static final int JOBS = 40;

    @Override
    public boolean broken(ProgramCluster c, boolean trouble) throws Exception {
        long[] slowFromMs = {Long.MAX_VALUE};
        AtomicInteger writes = new AtomicInteger();
        c.store.disturbance = (process, call, perform) -> {
            long nowMs = c.record.nowMs();
            long slowToMs = slowFromMs[0] + SLOW_MS;
            if (slowFromMs[0] == Long.MAX_VALUE || nowMs > slowToMs + DOWN_MS) {
                return perform.perform();
            }
            if (nowMs > slowToMs) {
                return Answer.of(503, "");
            }
            Answer a = perform.perform();
            Thread.sleep(SLOW_ANSWER_MS);
            if (c.record.nowMs() > slowToMs && !call.path().equals("/rows-tx")) {
                return Answer.of(503, "");
            }
            if (call.path().equals("/rows-tx") && writes.incrementAndGet() % 3 == 0) {
                JsonNode tx = RowStore.JSON.readTree(call.body());
                JsonNode first = tx.path("writes").path(0);
                c.record.log("store: carried out a write of " + process + " to " + first.path("table").asText() + "/"
                        + first.path("key").asText() + " (" + a.status() + "); its answer is lost");
                return Answer.silent();
            }
            return a;
        };
        c.start(3, 2);
        Map<String, Integer> replies = new ConcurrentHashMap<>();
        List<Thread> consumers = new ArrayList<>();
        for (int cycle = 0; cycle < CYCLES; cycle++) {
            if (trouble) {
                slowFromMs[0] = c.record.nowMs();
                c.record.log("the store is slow and loses a third of the answers to writes for " + SLOW_MS
                        + " ms, and then refuses all calls for " + DOWN_MS + " ms");
            }
            for (int i = 0; i < JOBS; i++) {
                String id = ProgramCluster.id(100 * cycle + i);
                String entry = "e" + (1 + i % 3);
                Thread t = new Thread(() -> replies.put(id, c.call(
                                entry,
                                "POST",
                                id,
                                ProgramCluster.job("work=200", "{\"count\":1,\"cpu\":100,\"gpu\":0,\"estimated-ms\":200}"))
                        .status()));
                t.start();
                consumers.add(t);
                Thread.sleep(SLOW_MS / JOBS);
            }
            Thread.sleep(DOWN_MS + CALM_MS);
        }
        for (Thread t : consumers) {
            t.join();
        }
        Thread.sleep(8_000);
        int broken = 0;
        Map<Integer, Integer> counts = new TreeMap<>();
        for (Map.Entry<String, Integer> r : replies.entrySet()) {
            int status = r.getValue();
            counts.merge(status, 1, Integer::sum);
            boolean ran = c.workers.values().stream().anyMatch(w -> w.hasRun(r.getKey()));
            if ((status == 503 || status == 429) && ran) {
                c.record.log("job " + r.getKey() + " was rejected with " + status + ", its only answer, and ran");
                broken++;
            }
        }
        c.record.log("answers: " + counts);
        return broken > 0;
    }
}
