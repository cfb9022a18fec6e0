package io.pollenreach.daemon.internal.scheduler;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.pollenreach.ManualClock;
import io.pollenreach.daemon.internal.store.MemoryStore;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.batch.Resources;
import io.pollenreach.internal.batch.StepSpec;
import io.pollenreach.internal.batch.WorkerOrders;
import io.pollenreach.internal.batch.WorkerReport;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Changes that are stored in several transactions. */
class SplitTransactionsTest {
    private static final long LEASE_MS = 6_000;
    /** With as many rows of progress, more than a transaction takes. */
    private static final int WORKERS = StateStore.MAX_ENTRIES * 3 / 5;

    private final MemoryStore store = new MemoryStore();
    private final ManualClock clock = new ManualClock();
    private long sequence;

    private static List<String> workers() {
        return IntStream.range(0, WORKERS).mapToObj(i -> "w" + i).toList();
    }

    private Term load() throws InterruptedException {
        long version = store.get(Tables.LEADER, Tables.TERM)
                .join()
                .map(StoredRow::version)
                .orElseThrow();
        LeaderWatch leader = new LeaderWatch(store, clock);
        Term term = new Term(
                new SchedulerContext("e1", store, leader, Map::of, Advisor.none(), clock, LEASE_MS),
                version,
                (event, pairs) -> {},
                new SimpleMeterRegistry());
        term.load();
        return term;
    }

    private void putJobs(String prefix) {
        StepSpec step = StepSpec.builder(1, new Resources(1_000, 1_000, 8))
                .estimatedMs(1_000)
                .build();
        for (String worker : workers()) {
            String id = prefix + worker;
            BatchJob job = new BatchJob(id, "q", "team", "pool", 1, 3, "payload", List.of(step), null, false);
            store.put(Tables.JOBS, id, RowCodec.toValue(job));
        }
        store.discardHistory(Tables.JOBS);
    }

    /** Reports all workers as empty, by agents that have seen their newest orders. */
    private void reportEmpty() {
        sequence++;
        for (String name : workers()) {
            long seen = store.get(Tables.ordersOf(name), name)
                    .join()
                    .map(StoredRow::version)
                    .orElse(0L);
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
                    sequence,
                    seen,
                    List.of(),
                    List.of(),
                    List.of(),
                    false,
                    LEASE_MS);
            store.put(Tables.WORKERS, name, RowCodec.toValue(report));
        }
        store.discardHistory(Tables.WORKERS);
    }

    private List<String> orderedJobs() {
        return workers().stream()
                .flatMap(w -> store.get(Tables.ordersOf(w), w).join().stream())
                .flatMap(r -> RowCodec.fromRow(r, WorkerOrders.class).stream())
                .flatMap(o -> o.runs().stream())
                .map(r -> r.run().task().job())
                .toList();
    }

    // Guards against capacity that is held for good: the stops of runs that never began waited for the version of the
    // last
    // transaction, which the agents of the workers in the first one never see.
    @Test
    void freesTheCapacityOfStopsThatWereStoredInTheFirstOfTwoTransactions() throws Exception {
        store.put(Tables.LEADER, Tables.TERM, RowCodec.toValue(new LeaderRows.Term("e1")));
        reportEmpty();
        putJobs("first-");
        Term term = load();
        term.step();
        assertThat(orderedJobs()).hasSize(WORKERS);

        workers().forEach(w -> store.put(Tables.CANCELS, "first-" + w, RowCodec.toValue(1)));
        store.discardHistory(Tables.CANCELS);
        term.step();
        reportEmpty();
        putJobs("second-");
        term.step();
        term.step();

        assertThat(orderedJobs()).hasSize(WORKERS).allMatch(j -> j.startsWith("second-"));
    }
}
