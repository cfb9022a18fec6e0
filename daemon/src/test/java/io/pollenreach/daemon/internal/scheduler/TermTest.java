package io.pollenreach.daemon.internal.scheduler;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.pollenreach.ManualClock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.store.MemoryStore;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.batch.EndKind;
import io.pollenreach.internal.batch.JobOwner;
import io.pollenreach.internal.batch.JobPhase;
import io.pollenreach.internal.batch.ProgressRow;
import io.pollenreach.internal.batch.Resources;
import io.pollenreach.internal.batch.RunEnd;
import io.pollenreach.internal.batch.StepSpec;
import io.pollenreach.internal.batch.WorkerOrders;
import io.pollenreach.internal.batch.WorkerReport;
import io.pollenreach.internal.intake.Withdrawal;
import io.pollenreach.internal.intake.WithdrawalExpiry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class TermTest {
    private static final long LEASE_MS = 6_000;
    private static final long POLL_MS = 10;

    /** Longer than ended jobs are kept, in milliseconds. */
    private static final long RETENTION_MS = 200_000;

    private static final String[] WORKERS = {"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"};

    private final MemoryStore store = new MemoryStore();
    private final ManualClock clock = new ManualClock();
    private final Random random = new Random(7);
    private final LeaderWatch leader = new LeaderWatch(store, clock);
    private Term term;

    @BeforeEach
    void storeElectedTerm() {
        store.put(Tables.LEADER, Tables.TERM, RowCodec.toValue(new LeaderRows.Term("e1")));
    }

    private void load() throws InterruptedException {
        long version =
                store.get(Tables.LEADER, Tables.TERM).join().orElseThrow().version();
        SchedulerContext context =
                new SchedulerContext("e1", store, leader, () -> Map.of("lab", 8), Advisor.none(), clock, LEASE_MS);
        term = new Term(context, version, (event, pairs) -> {}, new SimpleMeterRegistry());
        term.load();
    }

    private void putWorker(String name) {
        putReport(name, name, true);
    }

    private void putReport(String name, String instance, boolean takesTasks, RunEnd... ends) {
        WorkerReport report = new WorkerReport(
                name,
                instance + "-incarnation",
                instance,
                1,
                "pool",
                new Resources(32_000, 64_000, 8),
                List.of("a", "r1"),
                "r1",
                "zone",
                takesTasks,
                1,
                0,
                List.of(),
                List.of(ends),
                List.of(),
                false,
                0);
        store.put(Tables.WORKERS, name, RowCodec.toValue(report));
    }

    private void putJob(String id, int priority, String workspace, int tasks, int accelerators) {
        StepSpec step = StepSpec.builder(tasks, new Resources(1_000, 1_000, accelerators))
                .estimatedMs(1_000)
                .build();
        putJob(id, priority, workspace, step, "payload");
    }

    private void putJob(String id, int priority, String workspace, StepSpec step, String payload) {
        BatchJob job = new BatchJob(id, "q", workspace, "pool", priority, 3, payload, List.of(step), null, false);
        store.put(Tables.JOBS, id, RowCodec.toValue(job));
    }

    private List<WorkerOrders> storedOrders(String... workers) {
        List<WorkerOrders> all = new ArrayList<>();
        for (String w : workers) {
            store.get(Tables.ordersOf(w), w)
                    .join()
                    .flatMap(r -> RowCodec.fromRow(r, WorkerOrders.class))
                    .ifPresent(all::add);
        }
        return all;
    }

    @Test
    void storesPlacementsWithTheirOrders() throws Exception {
        putWorker("w1");
        putJob("a", 1, "team", 2, 1);
        load();

        term.step();

        assertThat(storedOrders("w1").get(0).runs()).hasSize(2);
        assertThat(store.get(Tables.PROGRESS, "a").join()).isPresent();
    }

    @Test
    void writesNothingOnceAnotherEntryWasElected() throws Exception {
        putWorker("w1");
        putJob("a", 1, "team", 2, 1);
        load();
        store.put(Tables.LEADER, Tables.TERM, RowCodec.toValue(new LeaderRows.Term("e2")));

        assertThatThrownBy(term::step)
                .satisfies(t -> assertThat(PollenreachException.of(t).code()).isEqualTo(ResultCode.CONFLICT));
        assertThat(storedOrders("w1")).isEmpty();
    }

    // Guards against preempting task after task for one urgent task while the store is unavailable; 25 were
    // preempted on workload trouble-3 of ctread.
    @Test
    void makesNoFurtherDecisionsWhileTheStoreRefusesThePreviousOnes() throws Exception {
        for (int i = 1; i <= 3; i++) {
            putWorker("w" + i);
        }
        putJob("batch", 2, "team", 3, 8);
        load();
        term.step();
        putJob("urgent", 0, "lab", 1, 8);
        load();

        store.failCommits(ResultCode.PLATFORM_UNAVAILABLE);
        for (int i = 0; i < 3; i++) {
            term.step();
            clock.advanceMs(i < 2 ? 1_600 : 0);
        }
        store.failCommits(null);
        term.step();

        long stops = storedOrders("w1", "w2", "w3").stream()
                .mapToLong(o -> o.stops().size())
                .sum();
        assertThat(stops).isEqualTo(1);
    }

    private void loadWithARunOfWorkerOne() throws Exception {
        putWorker("w1");
        putJob("a", 1, "team", 1, 8);
        store.answerFirstWatches();
        leader.start();
        load();
        term.step();
    }

    // Guards against two runs at once: the runs of a silent agent's worker started elsewhere while its lease was valid.
    @Test
    void waitsForTheLeaseOfAWorkerWhoseAgentIsSilent() throws Exception {
        loadWithARunOfWorkerOne();
        putWorker("w2");
        load();

        clock.advanceMs(6_300);
        term.step();

        assertThat(storedOrders("w2")).noneMatch(o -> !o.runs().isEmpty());
        assertThat(storedOrders("w1")).allMatch(o -> o.runs().size() == 1);
    }

    @Test
    void givesUpTheRunsOfAWorkerOnceItsLeaseHasExpired() throws Exception {
        loadWithARunOfWorkerOne();

        clock.advanceMs(6_400);
        term.step();

        assertThat(storedOrders("w1")).allMatch(o -> o.runs().isEmpty());
        assertThat(store.get(Tables.WORKERS, "w1")
                        .join()
                        .flatMap(r -> RowCodec.fromRow(r, WorkerReport.class))
                        .orElseThrow()
                        .lost())
                .isTrue();
    }

    // Guards against two runs at once: an agent registered another process, and the runs of the process before it
    // counted as lost with it, though that one was still up.
    @Test
    void waitsForTheLeaseOfAWorkerWhoseAgentHasRegisteredAnotherProcess() throws Exception {
        loadWithARunOfWorkerOne();
        putReport("w1", "stranger", false);
        putWorker("w2");
        load();

        clock.advanceMs(2_500);
        term.step();
        term.step();

        assertThat(storedOrders("w2")).noneMatch(o -> !o.runs().isEmpty());
    }

    // Guards against one job that stops all others: the orders of its tasks were larger than a row, so the leader could
    // store nothing, and each leader after it made the same orders.
    @Test
    void storesOrdersWhosePayloadsTogetherAreLargerThanARow() throws Exception {
        putWorker("w1");
        StepSpec step = StepSpec.builder(30, new Resources(500, 500, 0)).build();
        for (int i = 0; i < 20; i++) {
            putJob("large-" + i, 1, "team", step, randomText(4_000));
        }
        putJob("other", 1, "lab", 1, 1);
        load();

        term.step();

        WorkerOrders orders = storedOrders("w1").get(0);
        assertThat(orders.runs()).hasSizeGreaterThan(40);
        assertThat(orders.runs()).allMatch(r -> r.payloadInJob() == r.payload().isEmpty());
    }

    // Guards against one job that stops all others: its row of progress grew with its tasks beyond what the store
    // takes.
    @Test
    void storesAndRestoresTheProgressOfAJobOfManyTasks() throws Exception {
        for (int i = 1; i <= 8; i++) {
            putWorker("w" + i);
        }
        // The tasks of a gang are placed all at once.
        StepSpec step =
                StepSpec.builder(3_000, new Resources(10, 10, 0)).gang(true).build();
        putJob("large", 1, "team", step, "payload");
        load();
        term.step();
        long placed = countRuns();

        load();
        term.step();

        assertThat(placed).isEqualTo(3_000);
        assertThat(countRuns()).isEqualTo(placed);
        assertThat(storedOrders(WORKERS)).allMatch(o -> o.stops().isEmpty());
    }

    // Guards against a second run of a whole job: one whose progress could not be read counted as a new job.
    @Test
    void leavesOutAJobWhoseProgressCannotBeRead() throws Exception {
        putWorker("w1");
        putJob("a", 1, "team", 1, 1);
        putJob("b", 1, "team", 1, 1);
        putJob("c", 1, "team", 1, 1);
        byte[] unreadable = "no progress".getBytes(StandardCharsets.UTF_8);
        store.put(Tables.PROGRESS, "a", unreadable);
        store.put(Tables.PROGRESS, "c", RowCodec.toValue(new ProgressRow(JobPhase.RUNNING, List.of(), null)));
        store.put(Tables.PROGRESS, "c~1", unreadable);
        load();

        term.step();

        assertThat(storedOrders("w1").get(0).runs())
                .extracting(r -> r.run().task().job())
                .containsExactly("b");

        store.discardHistory(Tables.JOBS);
        term.step();
        term.step();

        assertThat(storedOrders("w1").get(0).runs()).hasSize(1);
    }

    // Guards against a row of another writer that ends the term of every leader: its list of runs named a task that no
    // job
    // can have.
    @Test
    void schedulesOnWhenAReportNamesATaskThatNoJobHas() throws Exception {
        putWorker("w1");
        putJob("a", 1, "team", 1, 1);
        String odd = "{\"agent\":\"odd\",\"incarnation\":\"i\",\"instance\":\"i\",\"pool\":\"pool\",\"ordersSeen\":1,"
                + "\"active\":[{\"run\":{\"task\":\"a.0.-1.0\",\"run\":1}}]}";
        store.put(Tables.WORKERS, "odd", odd.getBytes(StandardCharsets.UTF_8));
        load();

        term.step();

        assertThat(storedOrders("w1").get(0).runs()).hasSize(1);
    }

    // Guards against a row of another writer that stands in for a job.
    @Test
    void ignoresAJobThatIsStoredUnderAnotherIdThanItsOwn() throws Exception {
        putWorker("w1");
        putJob("a", 1, "team", 1, 1);
        store.put(
                Tables.JOBS,
                "A",
                store.get(Tables.JOBS, "a").join().orElseThrow().value());
        putJob("a", 1, "team", 2, 1);
        load();

        term.step();

        assertThat(storedOrders("w1").get(0).runs()).hasSize(2);
    }

    // Guards against a row of another writer that stands in for an agent's own.
    @Test
    void ignoresAReportThatIsStoredUnderAnotherNameThanItsAgents() throws Exception {
        putWorker("w1");
        store.put(
                Tables.WORKERS,
                "x-odd",
                store.get(Tables.WORKERS, "w1").join().orElseThrow().value());
        putJob("a", 1, "team", 1, 1);
        load();

        term.step();

        assertThat(storedOrders("w1")).hasSize(1);
        assertThat(storedOrders("x-odd")).isEmpty();
        assertThat(term.reportVersion("w1"))
                .isEqualTo(store.get(Tables.WORKERS, "w1").join().orElseThrow().version());
    }

    private void endJob() throws Exception {
        putWorker("w1");
        putJob("a", 1, "team", 1, 1);
        load();
        term.step();
        RunEnd end = new RunEnd(1, storedOrders("w1").get(0).runs().get(0).run(), EndKind.DONE, "");
        putReport("w1", "w1", true, end);
        store.discardHistory(Tables.WORKERS);
        term.step();
        clock.advanceMs(RETENTION_MS);
    }

    private List<String> storedRowsOfJobs() {
        return Stream.of(Tables.JOBS, Tables.PROGRESS)
                .flatMap(t -> store.list(t).join().rows().stream())
                .map(StoredRow::key)
                .toList();
    }

    // Guards against a second run of a whole job, and against running a cancelled one: its rows could not be removed
    // when
    // it was forgotten, and were read again when the store had discarded its history.
    @Test
    void doesNotTakeAnEndedJobForANewOneWhenItsRowsCouldNotBeRemoved() throws Exception {
        endJob();
        store.failCommits(ResultCode.PLATFORM_UNAVAILABLE);
        term.step();
        assertThat(storedRowsOfJobs()).containsExactly("a", "a");

        store.failCommits(null);
        putReport("w1", "w1", true);
        store.discardHistory(Tables.WORKERS);
        store.discardHistory(Tables.JOBS);
        term.step();
        term.step();

        assertThat(storedOrders("w1").get(0).runs()).isEmpty();
    }

    @Test
    void removesTheRowsOfAnEndedJobAsSoonAsTheStoreAllowsIt() throws Exception {
        endJob();
        store.failCommits(ResultCode.PLATFORM_UNAVAILABLE);
        term.step();
        store.failCommits(null);

        clock.advanceMs(RETENTION_MS);
        term.step();

        assertThat(storedRowsOfJobs()).isEmpty();
    }

    @Test
    void removesWithdrawalsThatAreOldButNoneThatChangedMeanwhile() throws Exception {
        JobOwner team = new JobOwner("team", "q");
        load();
        store.put(Tables.WITHDRAWN, "old", RowCodec.toValue(Withdrawal.NONE.with(team)));
        store.put(Tables.WITHDRAWN, "changed", RowCodec.toValue(Withdrawal.NONE.with(team)));
        expireWithdrawals();
        assertThat(store.get(Tables.WITHDRAWN, "old").join()).isPresent();
        store.put(Tables.WITHDRAWN, "changed", RowCodec.toValue(Withdrawal.NONE.with(team)));

        expireWithdrawals();

        assertThat(store.get(Tables.WITHDRAWN, "old").join()).isEmpty();
        assertThat(store.get(Tables.WITHDRAWN, "changed").join()).isPresent();
    }

    private void expireWithdrawals() throws InterruptedException {
        clock.advanceMs(WithdrawalExpiry.MIN_AGE_MS);
        term.step();
        // The table is read in one step and its rows are handled in the next.
        term.step();
    }

    @Test
    void removesRowsOfProgressThatAreLeftWithoutTheirJob() throws Exception {
        putWorker("w1");
        store.put(Tables.PROGRESS, "a~1", RowCodec.toValue(new ProgressRow(JobPhase.COMPLETED, List.of(), null)));
        putJob("b", 1, "team", 1, 1);

        load();
        term.step();

        assertThat(storedRowsOfJobs()).containsExactly("b", "b");
    }

    private long countRuns() {
        return storedOrders(WORKERS).stream().mapToLong(o -> o.runs().size()).sum();
    }

    private String randomText(int length) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < length; i++) {
            text.append((char) (' ' + random.nextInt(90)));
        }
        return text.toString();
    }

    private boolean heartbeatStored() {
        return store.get(Tables.LEADER, Tables.BEAT).join().isPresent();
    }

    // Guards against a hand-over in a circle: reading the whole state took a slow machine longer than the others wait
    // for a heartbeat, so each new leader was replaced before its first decision (trouble-1 of the grown badge
    // cluster).
    @Test
    void showsThatItLeadsWhileItReadsTheState() throws Exception {
        CompletableFuture<Void> release = new CompletableFuture<>();
        store.holdLists(release);
        CompletableFuture<Void> loading = CompletableFuture.runAsync(() -> {
            try {
                load();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        while (!heartbeatStored()) {
            assertThat(loading).isNotDone();
            Thread.sleep(POLL_MS);
        }

        release.complete(null);
        loading.join();
    }

    // Guards against a new election, and all reads anew, because one read of many took too long.
    @Test
    void repeatsReadsThatFailWhileItLoads() throws Exception {
        putWorker("w1");
        putJob("a", 1, "team", 2, 1);
        store.failLists(3);
        load();

        term.step();

        assertThat(storedOrders("w1").get(0).runs()).hasSize(2);
    }
}
