package io.pollenreach.internal.batch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * Decides whether an urgent unit beyond its workspace's guarantee may preempt less urgent runs.
 *
 * <p>One with an objective may if it could still be in time with runs longer than expected, if no capacity is expected to
 * become free within half of its slack, and if the work lost is less than a limit that grows with the unit's own work and
 * with how much more slack the victims have. Without an objective only the lost work is limited. Runs of a job that has
 * waited past use for too long are spared. Confined to one pass; not thread-safe.
 */
final class PreemptionPolicy {
    /**
     * Work that may always be lost if no job becomes late by it, in core milliseconds: about one run of a large task.
     */
    private static final double MIN_LOSS_LIMIT_CORE_MS = 500_000;

    /** Largest multiple of the unit's own work that may be lost. */
    private static final double MAX_LOSS_RATIO = 4;

    /** Weight of lost work of a job that becomes late by the loss. */
    private static final double LATE_WEIGHT = 2;

    private final Map<String, JobProgress> jobs;
    private final JobTiming.Context context;
    private final Map<String, JobTiming> timings = new HashMap<>();

    PreemptionPolicy(Map<String, JobProgress> jobs, JobTiming.Context context) {
        this.jobs = jobs;
        this.context = context;
    }

    /** Returns how much the lost work of a run counts; infinite for one whose job has waited too long already. */
    double weight(TaskProgress victim) {
        JobTiming timing = timing(victim);
        if (timing.hasStarved(victim.id().occurrence())) {
            return Double.POSITIVE_INFINITY;
        }
        double slackMs = slackMs(victim);
        boolean inTime = timing.hasObjective() && slackMs >= 0;
        return inTime && slackMs < lostMs(victim) ? LATE_WEIGHT : 1;
    }

    /**
     * Tells whether a unit may preempt at all.
     *
     * @param untilFitsMs returns the expected time until a task of the unit fits on a worker without preemption
     */
    boolean mayPreempt(
            Unit unit, Collection<WorkerAllocations> workers, ToLongFunction<WorkerAllocations> untilFitsMs) {
        if (!unit.hasObjective()) {
            return true;
        }
        if (!unit.couldBeInTime()) {
            return false;
        }
        double waitMs = unit.slackMs(context.nowMs()) / 2.0;
        long fitting = waitMs <= 0
                ? 0
                : workers.stream()
                        .filter(w -> untilFitsMs.applyAsLong(w) <= waitMs)
                        .count();
        return fitting < unit.tasks().size();
    }

    /** Returns how much work of the victims may be lost to place a unit, in core milliseconds. */
    double limitCoreMs(Unit unit, List<TaskProgress> victims) {
        double runMs =
                context.runTimes().of(unit.job().job(), unit.first().step()).medianMs();
        double own = unit.tasks().size() * unit.spec().need().cores() * runMs;
        if (!unit.hasObjective()) {
            return Math.max(own, MIN_LOSS_LIMIT_CORE_MS);
        }
        double leastSlackMs =
                victims.stream().mapToDouble(v -> slackMs(v) - lostMs(v)).min().orElse(0);
        if (leastSlackMs < 0) {
            return own;
        }
        double ratio = leastSlackMs / Math.max(1, unit.job().job().objective().inTimeMs(runMs));
        return Math.max(MIN_LOSS_LIMIT_CORE_MS, own * Math.max(1, Math.min(MAX_LOSS_RATIO, ratio)));
    }

    private double lostMs(TaskProgress t) {
        return spec(t).checkpointing() ? 0 : context.nowMs() - t.placedMs();
    }

    /** Returns how much time a run's job has until it must be done, beyond what the run still needs; 0 if not known. */
    private double slackMs(TaskProgress t) {
        JobTiming timing = timing(t);
        if (!timing.hasObjective()) {
            return lostMs(t);
        }
        double ranMs = context.nowMs() - t.placedMs();
        return timing.latestStartMs(t.id().occurrence(), t.id().step(), 1) + ranMs - context.nowMs();
    }

    private StepSpec spec(TaskProgress t) {
        return jobs.get(t.id().job()).spec(t.id());
    }

    private JobTiming timing(TaskProgress t) {
        return timings.computeIfAbsent(t.id().job(), id -> new JobTiming(jobs.get(id), context));
    }
}
