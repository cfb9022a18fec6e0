package io.pollenreach.internal.batch;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.pollenreach.internal.json.Json;

/** A scheduler state with simulated workers, and the rows that a store would hold. */
final class SchedulerFixture {
    static final long WALL_MS = 1_000_000;

    private final SchedulerState state = new SchedulerState(this::record);
    private final Map<String, BatchJob> jobs = new LinkedHashMap<>();
    private final Map<String, Long> acceptedMs = new HashMap<>();
    private final Map<String, ProgressRow> progress = new HashMap<>();
    private final Map<String, WorkerOrders> orders = new HashMap<>();
    private final Map<String, WorkerReport> reports = new HashMap<>();
    private final Set<String> unreadableReports = new HashSet<>();
    private final Set<String> unreadableOrders = new HashSet<>();
    private final List<String> events = new ArrayList<>();
    private boolean storingOrders = true;
    private long version = 1;
    private long nowMs;
    /** The lease that agents report from now on, in milliseconds. */
    private long leaseMs = 6_000;

    private void record(String event, Object... keysAndValues) {
        events.add(event);
    }

    /** Returns the names of all decisions of this scheduler. */
    List<String> events() {
        return events;
    }

    /** Lets later schedulers fail to read a worker's report. */
    void spoilReport(String worker) {
        unreadableReports.add(worker);
    }

    /** Lets later schedulers fail to read a worker's orders. */
    void spoilOrders(String worker) {
        unreadableOrders.add(worker);
    }

    SchedulerState state() {
        return state;
    }

    void worker(String name, String rack) {
        worker(name, rack, "zone");
    }

    void worker(String name, String rack, String zone) {
        report(new WorkerReport(
                name,
                name + "-incarnation",
                name,
                1,
                "pool",
                new Resources(32_000, 64_000, 8),
                List.of("a", rack),
                rack,
                zone,
                true,
                1,
                0,
                List.of(),
                List.of(),
                List.of(),
                false,
                leaseMs));
    }

    /** Adds slow and fast workers without capacity, so that the pool is known to be uneven. */
    void addUnevenWorkers() {
        for (int i = 0; i < 6; i++) {
            String name = "other" + i;
            report(new WorkerReport(
                    name,
                    name + "-incarnation",
                    name,
                    1,
                    "pool",
                    Resources.NONE,
                    List.of(),
                    "",
                    "zone",
                    false,
                    1,
                    0,
                    List.of(),
                    List.of(),
                    List.of(),
                    false,
                    leaseMs));
            UnevenWorkersTest.learn(this, name, i % 2 == 0 ? 0.7 : 1.7);
        }
    }

    /** Lets this scheduler stop between the transactions with progress and those with orders, from now on. */
    void storeProgressAlone() {
        storingOrders = false;
    }

    void setLease(long ms) {
        leaseMs = ms;
    }

    void submit(Jobs job) {
        BatchJob built = roundTrip(job.build(), BatchJob.class);
        jobs.put(built.id(), built);
        acceptedMs.put(built.id(), nowMs);
        state.accept(built, ++version, nowMs);
        runPass(0);
    }

    /** Puts these zones, and no others, under evacuation, each by a row of the version 1. */
    void evacuate(String... zones) {
        Map<String, Long> versions = new HashMap<>();
        Arrays.stream(zones).forEach(z -> versions.put(z, 1L));
        state.setEvacuations(versions, nowMs);
        runPass(0);
    }

    /** Places a job and learns, before that is stored, that these zones, and no others, are under evacuation. */
    void evacuateDuringPlacement(Jobs job, String... zones) {
        BatchJob built = job.build();
        jobs.put(built.id(), built);
        state.accept(built, ++version, nowMs);
        state.plan(nowMs, WALL_MS + nowMs);
        evacuate(zones);
    }

    void cancel(String id) {
        state.cancel(id, nowMs);
        runPass(0);
    }

    static RunEnd end(long number, String task, int run, EndKind kind) {
        return new RunEnd(number, new TaskRun(TaskId.of(task), run), kind, "");
    }

    void end(String worker, long number, String task, int run, EndKind kind) {
        WorkerReport r = reports.get(worker);
        List<RunEnd> ends = new ArrayList<>(r.ends());
        ends.add(end(number, task, run, kind));
        report(with(r, r.incarnation(), true, List.of(), ends, List.of()));
    }

    void running(String worker, String task, int run, String checkpoint) {
        running(worker, task, run, checkpoint, 50);
    }

    void running(String worker, String task, int run, String checkpoint, int percent) {
        WorkerReport r = reports.get(worker);
        RunningTask active = new RunningTask(new TaskRun(TaskId.of(task), run), checkpoint, percent);
        report(with(r, r.incarnation(), true, List.of(active), r.ends(), List.of()));
    }

    /** Reports that a worker leaves in a while, with its runs at half of their work. */
    void leave(String worker, long leavesInMs, TaskRun... running) {
        WorkerReport r = reports.get(worker);
        List<RunningTask> active =
                Arrays.stream(running).map(t -> new RunningTask(t, "", 50)).toList();
        report(with(r, r.incarnation(), false, active, r.ends(), List.of())
                .withRuns(version, active, r.ends(), List.of())
                .withOutlook(new WorkerOutlook(leavesInMs, 0)));
    }

    /** Reports a run as ordered whose start the worker has not confirmed. */
    void starting(String worker, String task, int run) {
        WorkerReport r = reports.get(worker);
        RunningTask active = new RunningTask(new TaskRun(TaskId.of(task), run), "", RunningTask.UNCONFIRMED);
        report(with(r, r.incarnation(), true, List.of(active), r.ends(), List.of()));
    }

    /** Reports a long-running task as fully running, in addition to those reported before. */
    void fullyRunning(String worker, String task, int run) {
        WorkerReport r = reports.get(worker);
        List<RunningTask> active = new ArrayList<>(r.active());
        active.add(new RunningTask(new TaskRun(TaskId.of(task), run), "", 100));
        report(with(r, r.incarnation(), true, active, r.ends(), List.of()));
    }

    /** Reports that an agent has registered a new process of its worker, which takes no tasks yet. */
    void restart(String worker, List<RunEnd> formerEnds) {
        WorkerReport r = reports.get(worker);
        report(with(r, r.incarnation() + "-next", false, List.of(), List.of(), formerEnds));
    }

    /** Reports what a worker runs, after its agent has read the newest orders. */
    void listRuns(String worker, TaskRun... running) {
        WorkerReport r = reports.get(worker);
        List<RunningTask> active =
                Arrays.stream(running).map(t -> new RunningTask(t, "", 50)).toList();
        report(with(r, r.incarnation(), true, active, r.ends(), List.of())
                .withRuns(version, active, r.ends(), List.of()));
    }

    /** Reports that an agent has no worker any more. */
    void detachWorker(String worker) {
        WorkerReport r = reports.get(worker);
        report(new WorkerReport(
                worker,
                "-gone",
                "",
                r.bornMs(),
                r.pool(),
                Resources.NONE,
                List.of(),
                "",
                r.zone(),
                false,
                1,
                0,
                List.of(),
                List.of(),
                List.of(),
                false,
                leaseMs));
    }

    /** Writes the newest report once more, as agents do while nothing changes. */
    void reportAgain(String worker) {
        WorkerReport r = reports.get(worker);
        report(with(r, r.incarnation(), r.takesTasks(), r.active(), r.ends(), r.formerEnds()));
    }

    /** Applies the newest report again and returns the resulting changes. */
    StateChanges repeatReport(String worker) {
        state.report(reports.get(worker), state.workers().reportVersion(worker), nowMs);
        return state.changes();
    }

    void markLost(String worker) {
        report(reports.get(worker).withLostMark());
    }

    private static WorkerReport with(
            WorkerReport r,
            String incarnation,
            boolean takesTasks,
            List<RunningTask> active,
            List<RunEnd> ends,
            List<RunEnd> formerEnds) {
        return new WorkerReport(
                r.agent(),
                incarnation,
                r.instance(),
                r.bornMs(),
                r.pool(),
                r.capacity(),
                r.labels(),
                r.rack(),
                r.zone(),
                takesTasks,
                r.sequence() + 1,
                r.ordersSeen(),
                active,
                ends,
                formerEnds,
                false,
                r.leaseMs());
    }

    private void report(WorkerReport written) {
        WorkerReport report = roundTrip(written, WorkerReport.class);
        reports.put(report.agent(), report);
        state.report(report, ++version, nowMs);
        runPass(0);
    }

    /** Returns a value as it is read back after it was written as JSON. */
    private static <T> T roundTrip(T written, Class<T> type) {
        try {
            return Json.lenient().readValue(Json.lenient().writeValueAsBytes(written), type);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long nowMs() {
        return nowMs;
    }

    /** Advances the clock, runs a placement pass, and stores the changes. */
    void runPass(long ms) {
        nowMs += ms;
        state.plan(nowMs, WALL_MS + nowMs);
        StateChanges changes = state.changes();
        changes.jobs()
                .values()
                .forEach(rows -> rows.forEach((key, row) -> progress.put(key, roundTrip(row, ProgressRow.class))));
        changes.outdated().forEach(progress::remove);
        if (storingOrders) {
            changes.workers().forEach((name, row) -> orders.put(name, roundTrip(row, WorkerOrders.class)));
        }
        state.committed(++version);
    }

    /** Returns the state that a newly elected scheduler restores, after some jobs were cancelled. */
    SchedulerFixture successor(String... cancelled) {
        SchedulerFixture next = new SchedulerFixture();
        for (String id : cancelled) {
            next.state.cancel(id, nowMs);
        }
        next.version = version;
        next.nowMs = nowMs;
        next.acceptedMs.putAll(acceptedMs);
        next.reports.putAll(reports);
        long sequence = 0;
        for (BatchJob job : jobs.values()) {
            next.jobs.put(job.id(), job);
            next.state.restore(job, ++sequence, progressOf(job.id()), acceptedMs.get(job.id()), nowMs);
        }
        for (WorkerReport r : reports.values()) {
            boolean readable = !unreadableReports.contains(r.agent());
            next.state.restore(new StoredWorker(
                    r.agent(),
                    Optional.of(r).filter(x -> readable),
                    ++next.version,
                    nowMs,
                    Optional.ofNullable(orders.get(r.agent())).filter(o -> !unreadableOrders.contains(r.agent())),
                    version));
        }
        next.progress.putAll(progress);
        next.orders.putAll(orders);
        next.state.finishRestore(nowMs);
        next.runPass(0);
        return next;
    }

    WorkerOrders orders(String worker) {
        return orders.getOrDefault(worker, WorkerOrders.none(""));
    }

    private Map<String, ProgressRow> progressOf(String job) {
        Map<String, ProgressRow> rows = new HashMap<>(progress);
        rows.keySet().removeIf(key -> !ProgressRow.jobOf(key).equals(job));
        return rows;
    }

    ProgressRow progress(String job) {
        return progress.get(job);
    }

    /** Returns the keys of all stored rows of progress. */
    Set<String> progressKeys() {
        return Set.copyOf(progress.keySet());
    }

    /** Replaces a stored row of progress, as later schedulers read it. */
    void replaceProgress(String key, ProgressRow row) {
        progress.put(key, row);
    }
}
