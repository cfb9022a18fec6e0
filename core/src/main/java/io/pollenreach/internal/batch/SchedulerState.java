package io.pollenreach.internal.batch;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The in-memory state of the leading scheduler: jobs, workers, and the changes that are not stored yet.
 *
 * <p>Invariants: a task is placed only when no worker's orders contain it any more; a placement is visible to
 * agents only
 * once the change that {@link #changes()} returns has been stored; an end counts only for the task's current run.
 * Not thread-safe: confined to the scheduler's thread.
 */
public final class SchedulerState {
    private final DecisionLog log;
    private final JobTable jobs = new JobTable();
    private final WorkerTable workers = new WorkerTable();
    /** The ids of cancelled jobs, and when the scheduler learned of it, by its monotonic clock. */
    private final Map<String, Long> cancelled = new HashMap<>();

    private final UnstoredChanges unstored = new UnstoredChanges(jobs, workers);
    private final AdviceCache advice = new AdviceCache();
    private final RunReleases releases;
    private final WorkerRecovery recovery;
    private final JobStarts starts;
    private final RunEnds ends;
    private final Evacuations evacuations;
    private final Departures departures;
    private final RunObservations observations;
    private final UnitOrders unitOrders = new UnitOrders(this);
    private final OrderCounts orderCounts = new OrderCounts();
    private Map<String, Integer> guarantees = Map.of();
    /** Whether something has changed since the last pass that may let it decide otherwise. */
    private boolean placementChanged = true;

    private SpeedClasses speedClasses = SpeedClasses.UNIFORM;

    private long workersExamined;

    /** Creates an empty state that records its decisions in a log. */
    public SchedulerState(DecisionLog log) {
        this.log = log;
        releases = new RunReleases(this, log);
        recovery = new WorkerRecovery(this, releases, log);
        starts = new JobStarts(this, log);
        evacuations = new Evacuations(this, log);
        departures = new Departures(this, log);
        observations = new RunObservations(this, log);
        ends = new RunEnds(this, starts, observations, log);
    }

    /** Sets the number of accelerators that each workspace is guaranteed for its most urgent jobs. */
    public void setGuarantees(Map<String, Integer> acceleratorsByWorkspace) {
        if (!guarantees.equals(acceleratorsByWorkspace)) {
            guarantees = Map.copyOf(acceleratorsByWorkspace);
            placementChanged = true;
        }
    }

    /**
     * Sets the availability zones whose workers take no tasks, and withdraws the runs there whose orders are not known to
     * be stored.
     *
     * @param versionByZone the store's version of the row that evacuates each zone
     */
    public void setEvacuations(Map<String, Long> versionByZone, long nowMs) {
        placementChanged |= evacuations.replace(versionByZone, nowMs);
    }

    /** Tells whether an availability zone is under evacuation, as far as known. */
    public boolean isEvacuated(String zone) {
        return evacuations.contains(zone);
    }

    Evacuations evacuations() {
        return evacuations;
    }

    /** Adds a job that is accepted now; does nothing if it is already known or has been forgotten. */
    public void accept(BatchJob job, long sequence, long nowMs) {
        accept(job, sequence, nowMs, nowMs);
    }

    /** Adds a job that was accepted earlier; does nothing if it is already known or has been forgotten. */
    public void accept(BatchJob job, long sequence, long acceptedMs, long nowMs) {
        if (jobs.get(job.id()) != null || jobs.wasForgotten(job.id(), sequence)) {
            return;
        }
        JobProgress progress = new JobProgress(job, sequence, acceptedMs);
        add(progress, nowMs);
        unstored.add(progress);
        placementChanged = true;
    }

    /** Adds a job whose progress an earlier scheduler stored in one or more rows, as if it was accepted now. */
    public void restore(BatchJob job, long sequence, Map<String, ProgressRow> rowsByKey, long nowMs) {
        restore(job, sequence, rowsByKey, nowMs, nowMs);
    }

    /**
     * Adds a job whose progress an earlier scheduler stored in one or more rows.
     *
     * @param acceptedMs the earliest time by which the job is known to have been accepted, by the monotonic clock
     */
    public void restore(BatchJob job, long sequence, Map<String, ProgressRow> rowsByKey, long acceptedMs, long nowMs) {
        add(JobProgress.fromRows(job, sequence, rowsByKey, acceptedMs, nowMs), nowMs);
    }

    private void add(JobProgress job, long nowMs) {
        jobs.add(job);
        if (cancelled.containsKey(job.job().id())) {
            cancel(job.job().id(), nowMs);
        }
    }

    /** Adds a worker with what the store has of it; the jobs of its runs must have been added before. */
    public void restore(StoredWorker stored) {
        recovery.restore(stored);
    }

    /** Completes a restore, once all jobs and workers were added. */
    public void finishRestore(long nowMs) {
        recovery.finish(nowMs);
    }

    /** Cancels a job; if the job is not known yet, cancels it when it is added. */
    public void cancel(String id, long nowMs) {
        cancelled.putIfAbsent(id, nowMs);
        JobProgress job = jobs.get(id);
        if (job != null && !job.phase().ended()) {
            end(job, JobPhase.CANCELLED, nowMs);
        }
    }

    void end(JobProgress job, JobPhase endPhase, long nowMs) {
        placementChanged = true;
        job.end(endPhase, nowMs);
        advice.removeJob(job.job().id());
        unstored.add(job);
        job.tasks().filter(t -> t.state() == TaskProgress.State.PLACED).forEach(t -> stop(t, nowMs));
        log.logDecision(
                "job-ended", "job", job.job().id(), "phase", endPhase, "sinceAcceptedMs", nowMs - job.acceptedMs());
    }

    void stop(TaskProgress t, long nowMs) {
        observations.recordCutOff(t, nowMs);
        WorkerAllocations w = workers.get(t.worker());
        if (w != null && w.stop(t.taskRun(), nowMs)) {
            unstored.add(w);
        }
    }

    /**
     * Applies a worker's report.
     *
     * <p>A worker marked as lost has lost all its runs. One with a new incarnation has lost those that its first list
     * of runs does not show; until then all of them count as held, because the new process may have taken orders that
     * were meant for the one before.
     */
    public void report(WorkerReport report, long version, long nowMs) {
        WorkerAllocations w = workers.get(report.agent());
        if (w != null && version <= w.reportVersion()) {
            return;
        }
        if (w == null) {
            w = new WorkerAllocations(report, version, nowMs);
            workers.add(w);
            unstored.add(w);
            log.logDecision(
                    "worker-joined", "worker", w.name(), "incarnation", report.incarnation(), "pool", report.pool());
        }
        placementChanged |= w.placementDiffers(report, nowMs);
        applyReport(w, report, version, LossReason.MARKED_BEFORE, nowMs);
        departures.review(w, nowMs);
    }

    /** Records that an agent wrote a report that cannot be read; its worker, if known, takes no tasks meanwhile. */
    public void reportUnreadable(String agent, long version, long nowMs) {
        WorkerAllocations w = workers.get(agent);
        if (w != null && version > w.reportVersion()) {
            w.noteUnreadableReport(version, nowMs);
            placementChanged = true;
        }
    }

    /** Applies the mark of a worker as lost, because its leases have expired, that was stored under a version. */
    public void declareLost(WorkerReport marked, long version, long nowMs) {
        WorkerAllocations w = workers.get(marked.agent());
        if (w == null || version <= w.reportVersion()) {
            return;
        }
        placementChanged = true;
        applyReport(w, marked, version, LossReason.LEASE_EXPIRED, nowMs);
    }

    /** Applies a report; {@code lossReason} is why the worker counts as lost if the report has that mark. */
    void applyReport(WorkerAllocations w, WorkerReport report, long version, LossReason lossReason, long nowMs) {
        long previousAgeMs = nowMs - w.reportedMs();
        w.report().active().forEach(this::recordCheckpoint);
        starts.recordActive(report, nowMs);
        w.update(report, version, nowMs);
        boolean rebuildsOrders = !w.ordersKnown();
        if (rebuildsOrders && !recovery.takeOrdersFrom(w, report, nowMs)) {
            return;
        }
        // The agent has already acknowledged ends that it stored before its worker was lost or restarted, so they
        // count.
        if (!w.sameIncarnation(report)) {
            for (RunEnd end : report.formerEnds()) {
                applyEnd(w, end, nowMs);
            }
            if (!report.lost() && !report.listsRuns()) {
                log.logDecision(
                        "worker-registered",
                        "worker",
                        w.name(),
                        "incarnation",
                        report.incarnation(),
                        "runsUndecided",
                        w.runs().size());
                return;
            }
            releases.releaseAll(w, LossReason.PROCESS_CHANGED, previousAgeMs, nowMs);
        }
        report.active().forEach(this::recordCheckpoint);
        report.active().forEach(a -> jobs.findPlaced(a.run())
                .ifPresent(t -> observations.recordProgress(t, a.percent(), nowMs)));
        for (RunEnd end : report.ends()) {
            if (end.kind() == EndKind.REFUSED || w.recordEnd(end.number())) {
                applyEnd(w, end, nowMs);
            }
        }
        if (report.lost()) {
            releases.releaseAll(w, lossReason, previousAgeMs, nowMs);
            return;
        }
        if (rebuildsOrders) {
            recovery.releaseUnlisted(w, previousAgeMs, nowMs);
        }
        for (RunningTask a : report.active()) {
            if (w.stopUnknown(a.run(), occupied(a.run().task()), nowMs)) {
                log.logDecision(
                        "stray-run-stopped",
                        "worker",
                        w.name(),
                        "task",
                        a.run().task(),
                        "run",
                        a.run().run());
                unstored.add(w);
            }
        }
        if (w.removeFinishedStops()) {
            placementChanged = true;
            unstored.add(w);
        }
    }

    private void recordCheckpoint(RunningTask a) {
        if (!a.checkpoint().isEmpty()) {
            jobs.findPlaced(a.run()).ifPresent(t -> jobs.get(t.id().job()).saveCheckpoint(t, a.checkpoint()));
        }
    }

    void requeueWithGang(JobProgress job, TaskProgress t, long nowMs) {
        if (!job.spec(t.id()).gang()) {
            if (t.state() == TaskProgress.State.PLACED) {
                t.requeue(nowMs);
            }
            return;
        }
        for (TaskProgress m : job.step(t.id())) {
            if (m.state() == TaskProgress.State.PLACED) {
                stop(m, nowMs);
                m.requeue(nowMs);
            }
        }
    }

    void applyEnd(WorkerAllocations w, RunEnd end, long nowMs) {
        placementChanged = true;
        ends.apply(w, end, nowMs);
    }

    void recordChange(JobProgress job) {
        unstored.add(job);
    }

    void recordChange(WorkerAllocations worker) {
        placementChanged = true;
        unstored.add(worker);
    }

    /** Returns the workers. */
    public WorkerTable workers() {
        return workers;
    }

    /** Tells whether a pass may decide otherwise than the last one did, even if no time had passed since. */
    public boolean placementChanged() {
        return placementChanged;
    }

    /** Requests a pass, after advice on workers has arrived. */
    public void requestPlacement() {
        placementChanged = true;
    }

    /** Runs one placement pass over all waiting tasks. */
    public void plan(long nowMs, long wallMs) {
        placementChanged = false;
        speedClasses = SpeedClasses.of(workerSpeeds(), workers.all());
        PlacementPass pass = new PlacementPass(this, nowMs, wallMs);
        pass.run();
        workersExamined += pass.workersExamined();
    }

    /** Returns how many workers the searches of all passes so far have examined, a measure of their cost. */
    public long workersExamined() {
        return workersExamined;
    }

    /** Returns the cached advice on advised queues and the pending queries to the advisor. */
    public AdviceCache advice() {
        return advice;
    }

    /** Returns how many workers differ in their speed from the nominal one, as of the last pass. */
    public SpeedCounts workersBySpeed() {
        return speedClasses.counts();
    }

    SpeedClasses speedClasses() {
        return speedClasses;
    }

    /** Returns what was learned from runs. */
    public RunObservations observations() {
        return observations;
    }

    RunTimes runTimes() {
        return observations.runTimes();
    }

    WorkerSpeeds workerSpeeds() {
        return observations.workerSpeeds();
    }

    Map<String, JobProgress> jobs() {
        return jobs.byId();
    }

    /** Returns the jobs that have not ended, oldest first. */
    Collection<JobProgress> activeJobs() {
        return jobs.active();
    }

    int guarantee(String workspace) {
        return guarantees.getOrDefault(workspace, 0);
    }

    JobTiming.Context timingContext(long nowMs, long wallMs) {
        boolean uneven = !speedClasses.isUniform();
        return new JobTiming.Context(runTimes(), new PoolCapacity(workers.all()), uneven, nowMs, wallMs);
    }

    /** Returns the orders of the passes, by which waiting jobs are explained. */
    public UnitOrders unitOrders() {
        return unitOrders;
    }

    /** Returns the numbers of what was placed and preempted. */
    public OrderCounts orderCounts() {
        return orderCounts;
    }

    void place(Unit unit, List<FreeCapacity.Assignment> assignments, long nowMs) {
        JobProgress job = unit.job();
        orderCounts.recordPlaced(unit, assignments.size());
        StepSpec spec = job.spec(assignments.get(0).task().id());
        int gangRun = assignments.stream().mapToInt(a -> a.task().run()).max().orElse(0) + 1;
        for (FreeCapacity.Assignment a : assignments) {
            TaskProgress t = a.task();
            t.place(a.worker().name(), spec.gang() ? gangRun : t.run() + 1, nowMs);
            String ticket = advice.ticket(StepId.of(t.id()), a.worker().report().instance(), nowMs)
                    .orElse("");
            WorkerOrders.OrderedRun order = orderOf(job, t, ticket);
            a.worker().order(order, spec.occupied());
            unstored.add(a.worker());
            log.logDecision(
                    "task-placed",
                    "task",
                    t.id(),
                    "run",
                    t.run(),
                    "worker",
                    t.worker(),
                    "waitedMs",
                    nowMs - t.waitingSinceMs(),
                    "checkpoint",
                    order.checkpoint(),
                    "failures",
                    t.failures(),
                    "speed",
                    speedClasses.of(a.worker()).speed(),
                    "timeliness",
                    unit.timeliness().logName(),
                    "slackMs",
                    unit.slackMs(nowMs));
        }
        unstored.add(job);
    }

    WorkerOrders.OrderedRun orderOf(JobProgress job, TaskProgress t, String ticket) {
        StepSpec spec = job.spec(t.id());
        String checkpoint = spec.checkpointing() ? t.checkpoint() : "";
        return new WorkerOrders.OrderedRun(
                t.taskRun(), job.job().payload(), checkpoint, ticket, spec.targetLatencyMs(), spec.filler(), false);
    }

    /** Stops a run to free its resources for a more urgent task, and requeues its task. */
    void preempt(TaskProgress t, TaskId by, long nowMs) {
        JobProgress job = jobs.get(t.id().job());
        orderCounts.recordPreempted();
        log.logDecision("task-preempted", "task", t.id(), "run", t.run(), "worker", t.worker(), "by", by);
        stop(t, nowMs);
        requeueWithGang(job, t, nowMs);
        unstored.add(job);
    }

    Resources occupied(TaskId task) {
        JobProgress job = jobs.get(task.job());
        boolean known = job != null && task.step() < job.job().steps().size();
        return known ? job.spec(task).occupied() : Resources.NONE;
    }

    /** Returns the number of accepted jobs that have not started, by queue; recurring jobs are not counted. */
    public Map<String, Integer> waitingByQueue() {
        return jobs.waitingByQueue();
    }

    /** Returns the changes that must be stored before agents may act on them. */
    public StateChanges changes() {
        return unstored.toRows();
    }

    /**
     * Records that the changes returned by {@link #changes()} were stored.
     *
     * @param version the version of the earliest of their rows; no row of an earlier change has it or a newer one
     */
    public void committed(long version) {
        unstored.committed(version);
    }

    /**
     * Returns the jobs that ended longer ago than a time, in milliseconds, and those that were cancelled as long ago
     * without ever being known. They are kept until {@link #forget} tells that their rows are gone.
     *
     * @return the keys of the rows of progress of each such job, by its id
     */
    public Map<String, List<String>> expired(long keepMs, long nowMs) {
        Map<String, List<String>> expired = new LinkedHashMap<>();
        cancelled.forEach((id, seenMs) -> {
            if (jobs.get(id) == null && seenMs < nowMs - keepMs) {
                expired.put(id, List.of());
            }
        });
        jobs.endedBefore(nowMs - keepMs, id -> !unstored.containsJob(id))
                .forEach(j -> expired.put(j.job().id(), j.rowKeys()));
        return expired;
    }

    /** Forgets an expired job whose rows have been removed; an older view of these rows does not bring it back. */
    public void forget(String id, long nowMs) {
        jobs.forget(id, nowMs);
        cancelled.remove(id);
    }
}
