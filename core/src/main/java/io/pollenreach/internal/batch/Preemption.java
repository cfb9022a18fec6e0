package io.pollenreach.internal.batch;

import java.util.Collection;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * Frees capacity for urgent units in one placement pass by stopping less urgent runs.
 *
 * <p>Invariants: units inside their workspace's guarantee may stop any less urgent run and, if they would have to wait for
 * long otherwise, what workspaces have borrowed for work of priority 0; others only as {@link PreemptionPolicy} allows. Not
 * thread-safe.
 */
final class Preemption {
    private final SchedulerState state;
    private final SpeedPreference speeds;
    private final PreemptionPolicy policy;
    private final long nowMs;
    private final Reclaim insideGuarantee;
    private final Reclaim beyondGuarantee;

    Preemption(
            SchedulerState state,
            GuaranteeShares shares,
            FreeCapacity free,
            SpeedPreference speeds,
            JobTiming.Context context) {
        this.state = state;
        this.speeds = speeds;
        nowMs = context.nowMs();
        policy = new PreemptionPolicy(state.jobs(), context);
        insideGuarantee = new Reclaim(state.jobs(), shares, free, nowMs, speeds.classes(), t -> 1);
        beyondGuarantee = new Reclaim(state.jobs(), shares, free, nowMs, speeds.classes(), policy::weight);
    }

    /**
     * Finds the runs to stop for a unit on some workers, with the least work lost; empty if none may be stopped for it.
     *
     * @param distanceCostCoreMs how much more work the unit takes on other workers, in core milliseconds; as much may be
     *     lost in any case
     * @param untilFitsMs returns the expected time until a task of the unit fits on a worker without preemption
     */
    Optional<Reclaim.Plan> find(
            Unit unit,
            Collection<WorkerAllocations> workers,
            boolean oneRack,
            double distanceCostCoreMs,
            ToLongFunction<WorkerAllocations> untilFitsMs) {
        if (unit.guaranteed()) {
            return findInsideGuarantee(unit, workers, oneRack, untilFitsMs);
        }
        if (unit.job().job().priority() > 0) {
            return Optional.empty();
        }
        Optional<Reclaim.Plan> found = search(unit, workers, oneRack, VictimScope.LESS_URGENT);
        if (found.filter(p -> p.victims().isEmpty()).isPresent()) {
            // What was stopped for it in an earlier pass is enough.
            return found;
        }
        if (!policy.mayPreempt(unit, workers, untilFitsMs)) {
            state.orderCounts().recordPreemptionRefused();
            return Optional.empty();
        }
        Optional<Reclaim.Plan> allowed =
                found.filter(p -> isWithinLimit(unit, p) || p.lostCoreMs() <= distanceCostCoreMs);
        if (found.isPresent() && allowed.isEmpty()) {
            state.orderCounts().recordPreemptionRefused();
        }
        return allowed;
    }

    private Optional<Reclaim.Plan> findInsideGuarantee(
            Unit unit,
            Collection<WorkerAllocations> workers,
            boolean oneRack,
            ToLongFunction<WorkerAllocations> untilFitsMs) {
        Optional<Reclaim.Plan> found = search(unit, workers, oneRack, VictimScope.LESS_URGENT);
        if (found.isPresent() || fitsSoon(unit, workers, untilFitsMs)) {
            return found;
        }
        Optional<Reclaim.Plan> borrowed = search(unit, workers, oneRack, VictimScope.BORROWED);
        return borrowed.isPresent() || unit.spec().need().accelerators() == 0
                ? borrowed
                : search(unit, workers, oneRack, VictimScope.UNCOVERED);
    }

    /** Tells whether a unit is expected to fit without preemption while it may still wait. */
    private boolean fitsSoon(
            Unit unit, Collection<WorkerAllocations> workers, ToLongFunction<WorkerAllocations> untilFitsMs) {
        long waitedMs = nowMs - unit.tasks().get(0).waitingSinceMs();
        long leftMs = WorkerChoice.MAX_GUARANTEED_WAIT_MS - waitedMs;
        return leftMs > 0
                && workers.stream()
                                .filter(w -> untilFitsMs.applyAsLong(w) <= leftMs)
                                .count()
                        >= unit.tasks().size();
    }

    /** Finds the runs to stop for a unit on some workers; empty if too much work would be lost. */
    Optional<Reclaim.Plan> findWithinLimit(Unit unit, Collection<WorkerAllocations> workers, boolean oneRack) {
        return searchFor(unit)
                .find(unit.tasks(), unit.spec(), target(unit, VictimScope.LESS_URGENT), workers, oneRack)
                .filter(p -> isWithinLimit(unit, p));
    }

    /** Searches the fastest workers first, and slower ones as well as long as too much work would be lost. */
    private Optional<Reclaim.Plan> search(
            Unit unit, Collection<WorkerAllocations> workers, boolean oneRack, VictimScope scope) {
        Optional<Reclaim.Plan> plan = Optional.empty();
        for (Collection<WorkerAllocations> allowed : speeds.forReclaim(workers)) {
            plan = searchFor(unit).find(unit.tasks(), unit.spec(), target(unit, scope), allowed, oneRack);
            if (plan.filter(p -> isWithinLimit(unit, p)).isPresent()) {
                break;
            }
        }
        return plan;
    }

    private static Reclaim.Target target(Unit unit, VictimScope scope) {
        return new Reclaim.Target(unit.job().job().priority(), scope);
    }

    private Reclaim searchFor(Unit unit) {
        return unit.guaranteed() ? insideGuarantee : beyondGuarantee;
    }

    private boolean isWithinLimit(Unit unit, Reclaim.Plan plan) {
        return plan.lostCoreMs() <= policy.limitCoreMs(unit, plan.victims());
    }

    /** Stops the runs of a plan. */
    void carryOut(Unit unit, Reclaim.Plan plan) {
        for (TaskProgress victim : plan.victims()) {
            if (victim.state() == TaskProgress.State.PLACED) {
                state.preempt(victim, unit.first(), nowMs);
            }
        }
        insideGuarantee.invalidateAll();
        beyondGuarantee.invalidateAll();
    }

    /** Returns how many workers all searches so far have examined, a measure of their cost. */
    long workersExamined() {
        return insideGuarantee.workersExamined() + beyondGuarantee.workersExamined();
    }
}
