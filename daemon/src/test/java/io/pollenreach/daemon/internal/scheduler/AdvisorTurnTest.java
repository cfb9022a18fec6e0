package io.pollenreach.daemon.internal.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.pollenreach.ManualClock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.store.MemoryStore;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.batch.Resources;
import io.pollenreach.internal.batch.RunningTask;
import io.pollenreach.internal.batch.StepId;
import io.pollenreach.internal.batch.StepSpec;
import io.pollenreach.internal.batch.WorkerOrders;
import io.pollenreach.internal.batch.WorkerReport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays bursts of jobs on an advisor that handles one query at a time. */
class AdvisorTurnTest {
    private static final long LEASE_MS = 6_000;
    private static final long TICK_MS = 20;
    private static final long REPORT_MS = 1_000;
    private static final long VALID_MS = 3_000;
    private static final int WORKERS = 11;
    private static final int JOBS = 21;

    private static final List<String> NAMES =
            IntStream.rangeClosed(1, WORKERS).mapToObj(i -> "w" + i).toList();

    private final MemoryStore store = new MemoryStore();
    private final ManualClock clock = new ManualClock();
    private final Map<String, Long> startedMsByJob = new HashMap<>();
    private final Map<String, Integer> sequences = new HashMap<>();

    /** An advisor whose tickets are valid from its answer on. */
    private final class TurnAdvisor implements Advisor {
        private record Call(List<String> workers, CompletableFuture<Advice> answer) {}

        private final Deque<Call> waiting = new ArrayDeque<>();
        private final long decisionMs;
        private final long perWorkerMs;
        private long busyUntilMs;
        private int failing;

        TurnAdvisor(long decisionMs, long perWorkerMs) {
            this.decisionMs = decisionMs;
            this.perWorkerMs = perWorkerMs;
        }

        @Override
        public CompletableFuture<Advice> advise(StepId step, List<String> workers) {
            if (failing > 0) {
                failing--;
                return CompletableFuture.failedFuture(
                        new PollenreachException(ResultCode.PLATFORM_UNAVAILABLE, "as told"));
            }
            Call call = new Call(workers, new CompletableFuture<>());
            if (waiting.isEmpty()) {
                busyUntilMs = clock.nowMs() + durationMs(call);
            }
            waiting.add(call);
            return call.answer();
        }

        private long durationMs(Call call) {
            return decisionMs + perWorkerMs * call.workers().size();
        }

        void answerDue() {
            while (!waiting.isEmpty() && clock.nowMs() >= busyUntilMs) {
                Call call = waiting.remove();
                Map<String, String> tickets = new HashMap<>();
                call.workers().forEach(w -> tickets.put(w, Long.toString(clock.nowMs() + VALID_MS)));
                if (!waiting.isEmpty()) {
                    busyUntilMs = clock.nowMs() + durationMs(waiting.peek());
                }
                call.answer().complete(new Advice(tickets, VALID_MS));
            }
        }
    }

    // review/14: tickets aged while their queries waited for the advisor's turn, and half of a burst never began
    @ParameterizedTest
    @CsvSource({"100, 20", "0, 50", "400, 10", "2000, 0"})
    void startsEveryJobOfABurst(long decisionMs, long perWorkerMs) throws Exception {
        play(new TurnAdvisor(decisionMs, perWorkerMs), JOBS * (decisionMs + 3 * perWorkerMs) + 3_000);

        assertThat(startedMsByJob).hasSize(JOBS);
    }

    @Test
    void startsEveryJobOfABurstOnceTheAdvisorAnswersAgain() throws Exception {
        TurnAdvisor advisor = new TurnAdvisor(50, 10);
        advisor.failing = 5;
        play(advisor, 10_000);

        assertThat(startedMsByJob).hasSize(JOBS);
    }

    private void play(TurnAdvisor advisor, long forMs) throws Exception {
        store.put(Tables.LEADER, Tables.TERM, RowCodec.toValue(new LeaderRows.Term("e1")));
        for (int i = 0; i < JOBS; i++) {
            StepSpec step = StepSpec.builder(1, new Resources(500, 256, 0))
                    .estimatedMs(1_000)
                    .build();
            String id = "job-" + i;
            store.put(
                    Tables.JOBS,
                    id,
                    RowCodec.toValue(
                            new BatchJob(id, "q", "team", "pool", 1, 3, "payload", List.of(step), null, true)));
        }
        NAMES.forEach(this::report);
        long version =
                store.get(Tables.LEADER, Tables.TERM).join().orElseThrow().version();
        SchedulerContext context =
                new SchedulerContext("e1", store, new LeaderWatch(store, clock), Map::of, advisor, clock, LEASE_MS);
        try (Term term = new Term(context, version, (event, pairs) -> {}, new SimpleMeterRegistry())) {
            term.load();
            for (long t = 0; t < forMs; t += TICK_MS) {
                advisor.answerDue();
                if (t % REPORT_MS == 0) {
                    NAMES.forEach(this::report);
                    store.discardHistory(Tables.WORKERS);
                }
                term.wake();
                term.step();
                recordStarts();
                clock.advanceMs(TICK_MS);
            }
        }
    }

    private void recordStarts() {
        for (String name : NAMES) {
            for (WorkerOrders.OrderedRun run : orders(name).runs()) {
                if (startedMsByJob.putIfAbsent(run.run().task().job(), clock.nowMs()) == null) {
                    assertThat(clock.nowMs()).as("time of the start").isLessThan(Long.parseLong(run.ticket()));
                }
            }
        }
    }

    private WorkerOrders orders(String name) {
        return store.get(Tables.ordersOf(name), name)
                .join()
                .flatMap(r -> RowCodec.fromRow(r, WorkerOrders.class))
                .orElse(WorkerOrders.none(""));
    }

    private void report(String name) {
        List<RunningTask> active = new ArrayList<>();
        orders(name).runs().forEach(r -> active.add(new RunningTask(r.run(), "", 50)));
        WorkerReport report = new WorkerReport(
                name,
                name + "-incarnation",
                name,
                1,
                "pool",
                new Resources(32_000, 64_000, 8),
                List.of("a", "r1"),
                "r1",
                "zone",
                true,
                sequences.merge(name, 1, Integer::sum),
                0,
                active,
                List.of(),
                List.of(),
                false,
                LEASE_MS);
        store.put(Tables.WORKERS, name, RowCodec.toValue(report));
    }
}
