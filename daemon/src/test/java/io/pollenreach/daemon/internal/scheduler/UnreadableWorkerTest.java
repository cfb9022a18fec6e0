package io.pollenreach.daemon.internal.scheduler;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.pollenreach.ManualClock;
import io.pollenreach.daemon.internal.store.MemoryStore;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.daemon.internal.store.Transaction;
import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.batch.Resources;
import io.pollenreach.internal.batch.RunningTask;
import io.pollenreach.internal.batch.StepSpec;
import io.pollenreach.internal.batch.TaskRun;
import io.pollenreach.internal.batch.WorkerOrders;
import io.pollenreach.internal.batch.WorkerReport;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** What a new leader does with the runs of workers whose rows it cannot read. */
class UnreadableWorkerTest {
    private static final long LEASE_MS = 6_000;
    private static final byte[] UNREADABLE = "no row".getBytes(StandardCharsets.UTF_8);

    private final MemoryStore store = new MemoryStore();
    private final ManualClock clock = new ManualClock();
    private final LeaderWatch leader = new LeaderWatch(store, clock);
    private Term term;

    private void load() throws InterruptedException {
        store.put(Tables.LEADER, Tables.TERM, RowCodec.toValue(new LeaderRows.Term("e1")));
        long version =
                store.get(Tables.LEADER, Tables.TERM).join().orElseThrow().version();
        SchedulerContext context = new SchedulerContext("e1", store, leader, Map::of, Advisor.none(), clock, LEASE_MS);
        term = new Term(context, version, (event, pairs) -> {}, new SimpleMeterRegistry());
        term.load();
    }

    private void putWorker(String name) {
        WorkerReport report = new WorkerReport(
                name,
                name + "-incarnation",
                name,
                1,
                "pool",
                new Resources(32_000, 64_000, 8),
                List.of(),
                "r1",
                "zone",
                true,
                1,
                0,
                List.of(),
                List.of(),
                List.of(),
                false,
                0);
        store.put(Tables.WORKERS, name, RowCodec.toValue(report));
    }

    private void putJob(String id) {
        StepSpec step = StepSpec.builder(1, new Resources(1_000, 1_000, 8))
                .estimatedMs(1_000)
                .build();
        BatchJob job = new BatchJob(id, "q", "team", "pool", 1, 3, "payload", List.of(step), null, false);
        store.put(Tables.JOBS, id, RowCodec.toValue(job));
    }

    private List<WorkerOrders> storedOrders(String worker) {
        return store
                .get(Tables.ordersOf(worker), worker)
                .join()
                .flatMap(r -> RowCodec.fromRow(r, WorkerOrders.class))
                .stream()
                .toList();
    }

    /** Places the only task on the only worker, adds an idle worker, and prepares the watches for a new leader. */
    private TaskRun placeOnFirstOfTwoWorkers() throws Exception {
        putWorker("w1");
        putJob("a");
        load();
        term.step();
        putWorker("w2");
        store.answerFirstWatches();
        leader.start();
        return storedOrders("w1").get(0).runs().get(0).run();
    }

    private void spoilReport() {
        store.put(Tables.WORKERS, "w1", UNREADABLE);
    }

    private void spoilOrders() {
        store.put(Tables.ordersOf("w1"), "w1", UNREADABLE);
    }

    private void removeOrders() {
        store.commit(new Transaction().remove(Tables.ordersOf("w1"), "w1")).join();
    }

    private void takeOver() throws Exception {
        load();
        term.step();
        clock.advanceMs(LEASE_MS / 2);
        term.step();
    }

    private void report(String worker, RunningTask... active) throws Exception {
        WorkerReport before = RowCodec.fromRow(
                        store.get(Tables.WORKERS, worker).join().orElseThrow(), WorkerReport.class)
                .orElseThrow();
        WorkerReport listing =
                before.withRuns(before.ordersSeen() + 1, List.of(active), before.ends(), before.formerEnds());
        store.put(Tables.WORKERS, worker, RowCodec.toValue(listing));
    }

    private void deliverReports() throws Exception {
        store.discardHistory(Tables.WORKERS);
        term.step();
        term.step();
    }

    private static RunningTask running(TaskRun run) {
        return new RunningTask(run, "", 50);
    }

    private long countSecondRuns() {
        return Stream.of("w1", "w2")
                .flatMap(w -> storedOrders(w).stream())
                .flatMap(o -> o.runs().stream())
                .filter(r -> r.run().run() > 1)
                .count();
    }

    // Guards against two runs at once: a new leader placed the tasks of a worker whose report it could not read.
    @Test
    void keepsTheRunsOfAWorkerWhoseReportCannotBeRead() throws Exception {
        placeOnFirstOfTwoWorkers();
        spoilReport();

        takeOver();

        assertThat(countSecondRuns()).isZero();
    }

    // Guards against two runs at once, as above for its orders.
    @Test
    void keepsTheRunsOfAWorkerWhoseOrdersCannotBeRead() throws Exception {
        placeOnFirstOfTwoWorkers();
        spoilOrders();

        takeOver();

        assertThat(countSecondRuns()).isZero();
    }

    @Test
    void keepsTheRunsOfAWorkerNoneOfWhoseRowsCanBeRead() throws Exception {
        placeOnFirstOfTwoWorkers();
        spoilReport();
        spoilOrders();

        takeOver();

        assertThat(countSecondRuns()).isZero();
    }

    // Guards against two runs at once: the rows of a worker were removed while it ran.
    @Test
    void keepsTheRunsOfAWorkerWhoseReportIsMissing() throws Exception {
        placeOnFirstOfTwoWorkers();
        store.commit(new Transaction().remove(Tables.WORKERS, "w1")).join();

        takeOver();

        assertThat(countSecondRuns()).isZero();
    }

    // Guards against a stop of runs that go on: their orders were missing and their worker's report listed them.
    @Test
    void keepsRunsThatAReportListsThoughTheOrdersAreMissing() throws Exception {
        TaskRun run = placeOnFirstOfTwoWorkers();
        report("w1", running(run));
        removeOrders();

        takeOver();
        report("w1", running(run));
        deliverReports();

        assertThat(storedOrders("w1").get(0).runs()).extracting(r -> r.run()).containsExactly(run);
        assertThat(storedOrders("w1").get(0).stops()).isEmpty();
        assertThat(countSecondRuns()).isZero();
    }

    @Test
    void letsRunsGoOnOnceTheRowsOfTheirWorkerCanBeReadAgain() throws Exception {
        TaskRun run = placeOnFirstOfTwoWorkers();
        byte[] report = store.get(Tables.WORKERS, "w1").join().orElseThrow().value();
        spoilReport();
        spoilOrders();

        takeOver();
        store.put(Tables.WORKERS, "w1", report);
        report("w1", running(run));
        deliverReports();
        clock.advanceMs(LEASE_MS / 2);
        report("w1", running(run));
        deliverReports();

        assertThat(storedOrders("w1").get(0).runs()).extracting(r -> r.run()).containsExactly(run);
        assertThat(storedOrders("w1").get(0).stops()).isEmpty();
        assertThat(countSecondRuns()).isZero();
    }

    @Test
    void placesTheTasksOfAnUnreadableWorkerOnceItsLeaseHasExpired() throws Exception {
        placeOnFirstOfTwoWorkers();
        spoilReport();
        spoilOrders();

        takeOver();
        clock.advanceMs(LEASE_MS / 2 + 400);
        report("w2");
        deliverReports();

        assertThat(storedOrders("w2").get(0).runs())
                .extracting(r -> r.run().run())
                .containsExactly(2);
        assertThat(storedReport("w1").lost()).isTrue();
    }

    // Guards against two runs at once: each report extends the lease, whether the leader can read it or not.
    @Test
    void countsTheLeaseFromTheNewestReportThoughItCannotBeRead() throws Exception {
        placeOnFirstOfTwoWorkers();
        spoilReport();

        takeOver();
        spoilReport();
        deliverReports();
        clock.advanceMs(LEASE_MS / 2 + 400);
        report("w2");
        deliverReports();

        assertThat(countSecondRuns()).isZero();
    }

    // Guards against tasks that wait for good: the mark of a lost worker expected the last report that could be read.
    @Test
    void placesTheTasksOfAWorkerWhoseLastReportCouldNotBeReadOnceItsLeaseHasExpired() throws Exception {
        placeOnFirstOfTwoWorkers();
        takeOver();
        spoilReport();
        deliverReports();

        clock.advanceMs(LEASE_MS + 400);
        report("w2");
        deliverReports();

        assertThat(countSecondRuns()).isEqualTo(1);
    }

    @Test
    void placesATaskAgainThatWasNeverOrdered() throws Exception {
        placeOnFirstOfTwoWorkers();
        removeOrders();

        takeOver();

        assertThat(countSecondRuns()).isEqualTo(1);
    }

    private WorkerReport storedReport(String worker) {
        return RowCodec.fromRow(store.get(Tables.WORKERS, worker).join().orElseThrow(), WorkerReport.class)
                .orElseThrow();
    }
}
