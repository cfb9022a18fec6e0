package io.pollenreach.internal.batch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One placement pass over all waiting tasks, most urgent first.
 *
 * <p>Jobs of priority 0 inside their workspace's guarantee come first and reclaim capacity from less urgent ones;
 * other jobs of priority 0 preempt only if little work is lost. A task that does not fit claims the workers that
 * are expected to have free capacity for it soonest, so that no less urgent task is placed there. Claims keep
 * some tasks from capacity that nothing uses for a bounded time only: long-running ones, and, while no jobs come and
 * most capacity is idle, those of jobs that run nothing.
 *
 * <p>Answers the load of hundreds of waiting tasks on a slow machine: capacity only shrinks during a pass, so once a unit
 * has found no place, others with the same {@link FitKey} go straight to their claims, and what a worker's runs hold is computed
 * once a pass. Not thread-safe.
 */
final class PlacementPass {
    /**
     * A worker whose last report is older gets no new tasks, in milliseconds; longer than the interval at which an
     * idle worker reports.
     */
    static final long MAX_REPORT_AGE_MS = 3_500;

    /** Units for which capacity is claimed in one pass; bounds the duration of a pass when many tasks wait. */
    static final int MAX_CLAIMS = 64;

    /**
     * How long on end claims may keep a task that must not wait for them from capacity that nothing uses, in milliseconds.
     * The platform wants it to run within 3 s, which include its start.
     */
    static final long MAX_HELD_BACK_MS = 1_500;

    /**
     * How long after the last acceptance no more jobs are expected, in milliseconds; less than the time after the end of the
     * traffic from which the platform wants each job to run something.
     */
    private static final long QUIET_MS = 10_000;

    /** The part of a pool in use from which its jobs may have to wait for others. */
    private static final double BUSY_PART = 0.5;

    /**
     * Everything that decides whether a unit finds a place in this pass, free or by preemption.
     *
     * <p>Immutable.
     *
     * @param priority the job's priority; it decides which runs may be preempted
     * @param guaranteed whether the unit may preempt whatever is lost by it
     * @param timeliness what can still be reached for its job
     * @param expectedMs the expected running time, which bounds what the unit may preempt, in milliseconds; 0 if that is not
     *     bounded or nothing may be preempted
     * @param anyRack whether racks without the data, or several racks, may be used
     * @param anyWorker whether workers to avoid may be used
     * @param step the step, if its tasks limit each other or an advisor decides on it
     */
    private record FitKey(
            WorkerChoice.Requirement requirement,
            int tasks,
            Resources need,
            boolean filler,
            String dataRack,
            boolean oneRack,
            int priority,
            boolean guaranteed,
            Timeliness timeliness,
            long expectedMs,
            boolean anyRack,
            boolean anyWorker,
            Optional<StepId> step) {}

    private final SchedulerState schedulerState;
    private final long nowMs;
    private final GuaranteeShares guaranteeShares;
    private final FreeCapacity freeCapacity;
    /** The capacity of the workers without their runs, less what was claimed or reclaimed in this pass. */
    private final FreeCapacity capacityAfterRelease;

    private final WorkerChoice workerChoice;
    private final SpeedPreference speedPreference;
    private final Forecast forecast;
    private final Preemption preemption;
    private final AdvisedWorkers advisedWorkers;
    private final UnitOrder order;
    private final Set<TaskId> tasksHoldingResources;
    /** Whether there is a worker that may have been ordered to stop runs of which only their ends would be known. */
    private final boolean ordersUnknown;
    /** Whether no more jobs are expected. */
    private final boolean quiet;

    private final Set<FitKey> unplaceable = new HashSet<>();
    /** Units for which no worker could be claimed; like free capacity, what may be claimed only shrinks in a pass. */
    private final Set<FitKey> unclaimable = new HashSet<>();
    /** What claims of this pass that may be passed keep of each worker, whether it is free yet or not. */
    private final Map<WorkerAllocations, Resources> claimed = new HashMap<>();

    /** How much of each pool was in use once all units had been decided on, as a part of 1. */
    private final Map<String, Double> usedPart = new HashMap<>();
    /** Whether a task of a job was placed once all units had been decided on, or has been since. */
    private final Map<JobProgress, Boolean> atWork = new HashMap<>();

    private int claims;

    PlacementPass(SchedulerState schedulerState, long nowMs, long wallMs) {
        this.schedulerState = schedulerState;
        this.nowMs = nowMs;
        openDueOccurrences(schedulerState.activeJobs(), nowMs, wallMs);
        guaranteeShares = new GuaranteeShares(schedulerState.activeJobs(), schedulerState::guarantee);
        freeCapacity = new FreeCapacity(schedulerState.workers().all(), WorkerAllocations::free);
        capacityAfterRelease =
                new FreeCapacity(schedulerState.workers().all(), w -> w.report().capacity());
        SpeedClasses speedClasses = schedulerState.speedClasses();
        speedPreference = new SpeedPreference(speedClasses, schedulerState.runTimes());
        workerChoice = new WorkerChoice(
                schedulerState.workers().all(), schedulerState.evacuations(), schedulerState.runTimes(), nowMs);
        forecast = new Forecast(schedulerState, nowMs);
        JobTiming.Context context = schedulerState.timingContext(nowMs, wallMs);
        order = schedulerState.unitOrders().begin(context);
        preemption = new Preemption(schedulerState, guaranteeShares, freeCapacity, speedPreference, context);
        advisedWorkers = new AdvisedWorkers(schedulerState.advice(), nowMs);
        tasksHoldingResources = schedulerState.workers().all().stream()
                .flatMap(WorkerAllocations::heldTasks)
                .collect(Collectors.toSet());
        ordersUnknown = schedulerState.workers().all().stream().anyMatch(w -> !w.ordersKnown());
        quiet = schedulerState.activeJobs().stream().noneMatch(j -> nowMs - j.acceptedMs() < QUIET_MS);
    }

    private static void openDueOccurrences(Collection<JobProgress> jobs, long nowMs, long wallMs) {
        TaskBudget budget = TaskBudget.of(jobs);
        jobs.forEach(j -> j.openDueOccurrences(wallMs, nowMs, budget));
    }

    void run() {
        List<Unit> units = units();
        units.forEach(this::place);
        placeHeldBack(units);
    }

    /** Returns how many workers the searches of this pass have examined. */
    long workersExamined() {
        return freeCapacity.workersExamined() + capacityAfterRelease.workersExamined() + preemption.workersExamined();
    }

    private List<Unit> units() {
        for (JobProgress job : schedulerState.activeJobs()) {
            for (List<TaskProgress> step : job.readySteps()) {
                TaskId first = step.get(0).id();
                boolean gang = job.spec(first).gang();
                List<TaskProgress> waiting = step.stream()
                        .filter(t -> t.state() == TaskProgress.State.WAITING && (gang || isReady(t)))
                        .toList();
                if (!waiting.isEmpty() && (!gang || waiting.size() == step.size())) {
                    order.add(job, waiting, guaranteeShares.covers(job, first.occurrence()));
                }
            }
        }
        return order.units();
    }

    /** Tells whether no earlier run of a waiting task may still be at work. */
    private boolean isReady(TaskProgress t) {
        return !tasksHoldingResources.contains(t.id()) && !(ordersUnknown && t.awaitsEndOf(t.run()));
    }

    private void place(Unit unit) {
        Optional<FitKey> key = fitKey(unit);
        boolean blocked = key.filter(unplaceable::contains).isPresent();
        if (blocked && (claims == MAX_CLAIMS || unclaimable.contains(key.get()))) {
            return;
        }
        List<WorkerAllocations> eligible = advisedWorkers.withoutRefused(unit, workerChoice.eligible(unit));
        // A gang whose last run is still being stopped keeps room, so that less urgent tasks do not take what it
        // leaves.
        if (blocked || !unit.tasks().stream().allMatch(this::isReady)) {
            claim(unit, key, eligible);
            return;
        }
        if (!placeOrReserve(unit, advisedWorkers.withTicket(unit, eligible)) && !awaitsAdvice(unit, key, eligible)) {
            key.ifPresent(unplaceable::add);
            claim(unit, key, eligible);
        }
    }

    /** Places a unit or reserves workers on which it is to be placed; tells whether either was possible. */
    private boolean placeOrReserve(Unit unit, List<WorkerAllocations> eligible) {
        Collection<WorkerAllocations> near = WorkerChoice.nearData(unit, eligible);
        boolean oneRack = WorkerChoice.requiresOneRack(unit);
        if (placeWhereItFits(unit, near, oneRack, eligible)) {
            return true;
        }
        double distanceCost = workerChoice.distanceCostCoreMs(unit);
        if (preempts(unit, near, oneRack, distanceCost)) {
            return true;
        }
        if (!WorkerChoice.needsLocality(unit) || !workerChoice.mayUseAnyRack(unit)) {
            return false;
        }
        return awaitsNear(unit, near)
                || placeWhereItFits(unit, eligible, false, eligible)
                || preempts(unit, eligible, false, 0);
    }

    /** Places a unit if it fits on some workers now; it may instead await faster ones among those that are eligible. */
    private boolean placeWhereItFits(
            Unit unit, Collection<WorkerAllocations> workers, boolean oneRack, List<WorkerAllocations> eligible) {
        Optional<List<FreeCapacity.Assignment>> fit = speedPreference.fit(freeCapacity, unit, workers, oneRack);
        if (fit.isEmpty() || awaitsFaster(unit, fit.get(), eligible)) {
            return fit.isPresent();
        }
        freeCapacity.allocate(fit.get(), unit.spec().occupied());
        schedulerState.place(unit, fit.get(), nowMs);
        fit.get().forEach(a -> forecast.invalidate(a.worker()));
        return true;
    }

    /**
     * Claims workers near the data, or on one rack, for a unit inside its workspace's guarantee if it is expected to fit
     * there soon enough; tells whether it did.
     */
    private boolean awaitsNear(Unit unit, Collection<WorkerAllocations> near) {
        if (!unit.guaranteed() || !mayWait(unit, 1) || claims == MAX_CLAIMS) {
            return false;
        }
        Optional<List<FreeCapacity.Assignment>> claim =
                fitAfterRelease(unit, near).filter(c -> mayWait(unit, untilFitsMs(unit, c)));
        claim.ifPresent(c -> {
            claims++;
            reserve(unit, c);
        });
        return claim.isPresent();
    }

    /** Tells whether a unit that fits somewhere may wait for other workers; a workspace may count on its guarantee soon. */
    private boolean mayWait(Unit unit, long ms) {
        return !unit.guaranteed() || workerChoice.waitedMs(unit) + ms <= WorkerChoice.MAX_GUARANTEED_WAIT_MS;
    }

    /** Returns what decides on a unit; empty if one of its tasks failed before, since these avoid workers of their own. */
    private Optional<FitKey> fitKey(Unit unit) {
        BatchJob job = unit.job().job();
        StepSpec spec = unit.spec();
        boolean failedBefore = unit.tasks().stream().anyMatch(t -> t.failures() > 0);
        if (failedBefore || job.maxAttempts() == 1) {
            return Optional.empty();
        }
        boolean ownStep = spec.maxPerWorker() > 0 || job.advised();
        return Optional.of(new FitKey(
                WorkerChoice.requirementOf(unit),
                unit.tasks().size(),
                spec.need(),
                spec.filler(),
                spec.dataRack(),
                WorkerChoice.requiresOneRack(unit),
                job.priority(),
                unit.guaranteed(),
                unit.timeliness(),
                job.priority() == 0 && !unit.guaranteed() ? Math.round(workerChoice.expectedMs(unit)) : 0,
                workerChoice.mayUseAnyRack(unit),
                workerChoice.mayUseAnyWorker(unit),
                ownStep ? Optional.of(StepId.of(unit.first())) : Optional.empty()));
    }

    private long untilFitsMs(Unit unit, WorkerAllocations w) {
        return forecast.untilFitsMs(w, freeCapacity.of(w), unit.spec().occupied());
    }

    /**
     * Requests advice on the workers on which a unit would be placed now, and keeps them free for it if the advice is expected
     * soon. Tells whether there are such workers.
     */
    private boolean awaitsAdvice(Unit unit, Optional<FitKey> key, List<WorkerAllocations> eligible) {
        if (!AdvisedWorkers.needsAdvice(unit)) {
            return false;
        }
        Optional<List<FreeCapacity.Assignment>> chosen = chooseWithoutTickets(unit, eligible);
        chosen.ifPresent(c -> {
            if (advisedWorkers.request(unit, c, eligible, w -> untilFitsMs(unit, w))) {
                reserve(unit, c);
            } else {
                // The other tasks of the step cannot be placed in this pass either.
                key.ifPresent(unplaceable::add);
                key.ifPresent(unclaimable::add);
            }
        });
        return chosen.isPresent();
    }

    private Optional<List<FreeCapacity.Assignment>> chooseWithoutTickets(Unit unit, List<WorkerAllocations> eligible) {
        Collection<WorkerAllocations> near = WorkerChoice.nearData(unit, eligible);
        boolean oneRack = WorkerChoice.requiresOneRack(unit);
        boolean anyRack = WorkerChoice.needsLocality(unit) && workerChoice.mayUseAnyRack(unit);
        return speedPreference
                .fit(freeCapacity, unit, near, oneRack)
                .or(() -> preemption
                        .find(unit, near, oneRack, workerChoice.distanceCostCoreMs(unit), w -> untilFitsMs(unit, w))
                        .map(Reclaim.Plan::assignments))
                .or(() -> anyRack ? speedPreference.fit(freeCapacity, unit, eligible, false) : Optional.empty());
    }

    /**
     * Reserves faster workers for an urgent unit that could start on slow ones, if it ends clearly earlier there: by
     * stopping less urgent runs or else by a claim. Tells whether it did.
     */
    private boolean awaitsFaster(Unit unit, List<FreeCapacity.Assignment> fit, List<WorkerAllocations> eligible) {
        List<WorkerAllocations> faster = speedPreference.fasterThan(unit, fit, eligible);
        long stopMs = forecast.stopMs(unit.job().job().pool());
        if (faster.isEmpty() || !mayWait(unit, stopMs)) {
            return false;
        }
        Collection<WorkerAllocations> near = WorkerChoice.nearData(unit, faster);
        boolean oneRack = WorkerChoice.requiresOneRack(unit);
        Optional<Reclaim.Plan> plan = preemption
                .findWithinLimit(unit, near, oneRack)
                .filter(p -> isWorthWaiting(unit, stopMs, p.assignments(), fit));
        if (plan.isPresent()) {
            preempt(unit, plan.get());
            return true;
        }
        Optional<List<FreeCapacity.Assignment>> claim = claims == MAX_CLAIMS
                ? Optional.empty()
                : fitAfterRelease(unit, near).filter(c -> isWorthWaiting(unit, untilFitsMs(unit, c), c, fit));
        claim.ifPresent(c -> {
            claims++;
            reserve(unit, c);
        });
        return claim.isPresent();
    }

    private boolean isWorthWaiting(
            Unit unit, long untilFitsMs, List<FreeCapacity.Assignment> later, List<FreeCapacity.Assignment> now) {
        return mayWait(unit, untilFitsMs)
                && speedPreference.endsClearlyEarlier(unit, workerChoice.waitedMs(unit), untilFitsMs, later, now);
    }

    /** Returns the expected time until all assigned tasks fit, in milliseconds. */
    private long untilFitsMs(Unit unit, List<FreeCapacity.Assignment> assignments) {
        Map<WorkerAllocations, Integer> tasks = new HashMap<>();
        assignments.forEach(a -> tasks.merge(a.worker(), 1, Integer::sum));
        Resources need = unit.spec().occupied();
        return tasks.entrySet().stream()
                .mapToLong(e -> forecast.untilFitsMs(e.getKey(), freeCapacity.of(e.getKey()), need.times(e.getValue())))
                .max()
                .orElse(0);
    }

    /**
     * Stops less urgent runs to free capacity for a unit on some workers; tells whether it did.
     *
     * @param distanceCostCoreMs how much more work the unit takes on other workers, in core milliseconds
     */
    private boolean preempts(
            Unit unit, Collection<WorkerAllocations> workers, boolean oneRack, double distanceCostCoreMs) {
        Optional<Reclaim.Plan> plan =
                preemption.find(unit, workers, oneRack, distanceCostCoreMs, w -> untilFitsMs(unit, w));
        plan.ifPresent(p -> preempt(unit, p));
        return plan.isPresent();
    }

    private void preempt(Unit unit, Reclaim.Plan plan) {
        preemption.carryOut(unit, plan);
        forecast.invalidateAll();
        allocate(unit, plan.assignments());
    }

    /** Keeps capacity for a claim; nobody passes one of a unit inside its workspace's guarantee. */
    private void reserve(Unit unit, List<FreeCapacity.Assignment> assignments) {
        allocate(unit, assignments);
        if (!unit.guaranteed()) {
            assignments.forEach(a -> claimed.merge(a.worker(), unit.spec().occupied(), Resources::plus));
        }
    }

    private void allocate(Unit unit, List<FreeCapacity.Assignment> assignments) {
        freeCapacity.allocate(assignments, unit.spec().occupied());
        capacityAfterRelease.allocate(assignments, unit.spec().occupied());
    }

    /**
     * Claims the workers with the earliest expected free capacity for a unit, so that less urgent units cannot use
     * them. Without claims small tasks would take the capacity for a large one as it becomes free. A worker on which the
     * unit is not expected to fit at any time is not claimed, since that would keep its capacity idle for good.
     */
    private void claim(Unit unit, Optional<FitKey> key, List<WorkerAllocations> eligible) {
        if (claims == MAX_CLAIMS || key.filter(unclaimable::contains).isPresent()) {
            return;
        }
        claims++;
        Collection<WorkerAllocations> near = WorkerChoice.nearData(unit, eligible);
        Optional<List<FreeCapacity.Assignment>> claim =
                fitAfterRelease(unit, near).filter(c -> c.stream().allMatch(a -> fitsSometime(unit, a.worker())));
        if (claim.isEmpty()) {
            claim = fitAfterRelease(
                    unit, near.stream().filter(w -> fitsSometime(unit, w)).toList());
        }
        claim.ifPresentOrElse(c -> reserve(unit, c), () -> key.ifPresent(unclaimable::add));
    }

    private Optional<List<FreeCapacity.Assignment>> fitAfterRelease(Unit unit, Collection<WorkerAllocations> workers) {
        return capacityAfterRelease.fit(
                unit.tasks(),
                unit.spec(),
                workers,
                WorkerChoice.requiresOneRack(unit),
                w -> speedPreference.claimCost(unit, w, untilFitsMs(unit, w)));
    }

    /**
     * Places units that must not wait for claims and that only claims have kept waiting for the longest time that they may.
     * The end of the runs that a claim waits for may be far off. A task that serves users would be missing all that time,
     * and once no more jobs come, nothing keeps a large job waiting for good that lets a small one pass.
     */
    private void placeHeldBack(List<Unit> units) {
        FreeCapacity unused = new FreeCapacity(
                schedulerState.workers().all(), w -> freeCapacity.of(w).plus(claimed.getOrDefault(w, Resources.NONE)));
        Set<FitKey> unfitting = new HashSet<>();
        for (Unit unit : units) {
            TaskProgress first = unit.tasks().get(0);
            if (first.state() == TaskProgress.State.WAITING) {
                Optional<List<FreeCapacity.Assignment>> fit =
                        mayPassClaims(unit) ? fitWithoutClaims(unit, unused, unfitting) : Optional.empty();
                long heldBackMs = first.recordHeldBack(fit.isPresent(), nowMs);
                fit.ifPresent(f -> unused.allocate(f, unit.spec().occupied()));
                fit.filter(f -> heldBackMs >= MAX_HELD_BACK_MS).ifPresent(f -> {
                    schedulerState.place(unit, f, nowMs);
                    atWork.put(unit.job(), true);
                });
            }
        }
    }

    private boolean mayPassClaims(Unit unit) {
        boolean mustStart = unit.spec().longRunning()
                || quiet && isMostlyIdle(unit.job().job().pool()) && !isAtWork(unit.job());
        return mustStart && unit.tasks().stream().allMatch(this::isReady);
    }

    private boolean isAtWork(JobProgress job) {
        return atWork.computeIfAbsent(job, j -> j.tasks().anyMatch(t -> t.state() == TaskProgress.State.PLACED));
    }

    private boolean isMostlyIdle(String pool) {
        return usedPart.computeIfAbsent(pool, this::findUsedPart) < BUSY_PART;
    }

    private double findUsedPart(String pool) {
        Resources held = schedulerState.workers().all().stream()
                .filter(w -> w.report().pool().equals(pool))
                .map(WorkerAllocations::held)
                .reduce(Resources.NONE, Resources::plus);
        return new PoolCapacity(schedulerState.workers().all()).fraction(pool, held);
    }

    /** Finds workers for a unit that has found none, in the capacity that would be free without the claims of this pass. */
    private Optional<List<FreeCapacity.Assignment>> fitWithoutClaims(
            Unit unit, FreeCapacity unused, Set<FitKey> unfitting) {
        Optional<FitKey> key = fitKey(unit);
        if (claimed.isEmpty() || key.filter(unfitting::contains).isPresent()) {
            return Optional.empty();
        }
        List<WorkerAllocations> allowed = advisedWorkers.withTicket(unit, workerChoice.eligible(unit));
        boolean anyRack = workerChoice.mayUseAnyRack(unit);
        Collection<WorkerAllocations> workers = anyRack ? allowed : WorkerChoice.nearData(unit, allowed);
        Optional<List<FreeCapacity.Assignment>> fit =
                speedPreference.fit(unused, unit, workers, !anyRack && WorkerChoice.requiresOneRack(unit));
        if (fit.isEmpty()) {
            key.ifPresent(unfitting::add);
        }
        return fit;
    }

    private boolean fitsSometime(Unit unit, WorkerAllocations w) {
        return untilFitsMs(unit, w) != Forecast.NEVER;
    }
}
