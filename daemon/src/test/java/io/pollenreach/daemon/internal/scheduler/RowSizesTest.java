package io.pollenreach.daemon.internal.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import io.pollenreach.daemon.internal.store.MemoryStore;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.internal.batch.AdviceCache;
import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.batch.EndKind;
import io.pollenreach.internal.batch.Resources;
import io.pollenreach.internal.batch.RunEnd;
import io.pollenreach.internal.batch.RunningTask;
import io.pollenreach.internal.batch.SchedulerState;
import io.pollenreach.internal.batch.StateChanges;
import io.pollenreach.internal.batch.StepSpec;
import io.pollenreach.internal.batch.TaskRun;
import io.pollenreach.internal.batch.WorkerOrders;
import io.pollenreach.internal.batch.WorkerReport;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Whatever is submitted and reported, each row that is written fits into what the store takes. */
class RowSizesTest {
    private static final int WORKERS = 3;
    private static final int ROUNDS = 6;
    private static final int MAX_PAYLOAD_CHARS = 4_000;
    private static final int MAX_TICKET_CHARS = 1_500;
    private static final int MAX_CHECKPOINT_CHARS = 100;
    private static final Resources CAPACITY = new Resources(128_000, 1_000_000, 8);

    private final SchedulerState state = new SchedulerState((event, pairs) -> {});
    private final Map<String, WorkerOrders> orders = new HashMap<>();
    private long version = 1;
    private long nowMs;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void everyRowFitsIntoTheStore(long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < WORKERS; i++) {
            report("w" + i, List.of(), List.of());
        }
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 1 + random.nextInt(20); i > 0; i--) {
                state.accept(job(round + "-" + i, random), ++version, nowMs);
            }
            nowMs += 100;
            state.plan(nowMs, nowMs);
            Optional<AdviceCache.Query> query = state.advice().pollQuery(nowMs);
            while (query.isPresent()) {
                Map<String, String> tickets = new HashMap<>();
                query.get().workers().forEach(w -> tickets.put(w, text(random, MAX_TICKET_CHARS)));
                state.advice().recordAdvice(query.get(), tickets, 60_000, nowMs, nowMs);
                state.plan(nowMs, nowMs);
                query = state.advice().pollQuery(nowMs);
            }
            checkAndStore();
            orders.forEach((worker, o) -> reportRunsAndEnds(worker, o, random));
            checkAndStore();
        }
    }

    private void checkAndStore() {
        StateChanges changes = state.changes();
        changes.jobs().values().forEach(rows -> rows.forEach(RowSizesTest::check));
        changes.workers().forEach(RowSizesTest::check);
        orders.putAll(changes.workers());
        state.committed(++version);
    }

    private static void check(String key, Object row) {
        assertThat(RowCodec.toValue(row).length).as(key).isLessThanOrEqualTo(MemoryStore.MAX_ROW_BYTES);
    }

    private static BatchJob job(String id, Random random) {
        StepSpec step = StepSpec.builder(1 + random.nextInt(random.nextInt(4_000) + 1), new Resources(1, 1, 0))
                .checkpointing(true)
                .build();
        boolean advised = random.nextInt(4) == 0;
        return new BatchJob(
                "5c0e7a21d94b" + id,
                "q",
                "team",
                "pool",
                1,
                3,
                text(random, MAX_PAYLOAD_CHARS),
                List.of(step),
                null,
                advised);
    }

    // With quotes and control characters, which JSON escapes.
    private static String text(Random random, int maxChars) {
        StringBuilder text = new StringBuilder();
        for (int i = random.nextInt(maxChars + 1); i > 0; i--) {
            text.append((char) random.nextInt(128));
        }
        return text.toString();
    }

    private void reportRunsAndEnds(String worker, WorkerOrders o, Random random) {
        List<RunningTask> active = new ArrayList<>();
        List<RunEnd> ends = new ArrayList<>();
        long number = o.endsTaken();
        for (WorkerOrders.OrderedRun r : o.runs()) {
            TaskRun run = r.run();
            if (random.nextBoolean()) {
                active.add(new RunningTask(run, text(random, MAX_CHECKPOINT_CHARS), random.nextInt(101)));
            } else {
                EndKind kind = random.nextBoolean() ? EndKind.DONE : EndKind.LAPSED;
                ends.add(new RunEnd(++number, run, kind, text(random, MAX_CHECKPOINT_CHARS)));
            }
        }
        report(worker, active, ends);
    }

    private void report(String worker, List<RunningTask> active, List<RunEnd> ends) {
        WorkerReport report = new WorkerReport(
                worker, "i", worker, 1, "pool", CAPACITY, List.of(), "", "", true, 1, version, active, ends, List.of(),
                false, 0);
        check(worker, report);
        state.report(report, ++version, nowMs);
    }
}
