package io.pollenreach.internal.intake;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;

import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.batch.Resources;
import io.pollenreach.internal.batch.StepSpec;
import io.pollenreach.internal.batch.TaskBudget;
import io.pollenreach.internal.intake.AdmissionVerdict.Reason;
import io.pollenreach.internal.intake.BacklogSnapshot.PoolBacklog;
import io.pollenreach.internal.routing.RefusalPacer;

/**
 * Decides whether a job can still be of use to its caller, or is refused at once.
 *
 * <p>Invariants: whatever is in doubt is admitted; a job within its workspace's guarantee, a recurring or a long-running
 * one, and one without an objective are refused for load only if the scheduler could not keep their tasks; a workspace with at
 * most its share of the waiting work is refused only what is past use. The expected wait is the shortest possible one: it supposes that work never leaves
 * room unused, and counts workers that take no tasks for now. Stateless, so safe for use by many threads.
 */
public final class AdmissionPolicy {
    /**
     * The part of the time that a job may wait within which a workspace beyond its share has to expect room. The rest is
     * left to the jobs of the others, which would otherwise find a queue that is too long for them as well.
     */
    private static final double PART_BEYOND_SHARE = 0.75;

    /** A step that needs more than this part of its pool is expected to run in waves. */
    private static final double WAVE_PART = 0.25;

    private static final int MS_PER_S = 1_000;

    private AdmissionPolicy() {}

    /**
     * The circumstances of a decision.
     *
     * <p>Immutable.
     *
     * @param backlog the work that was published, with what the entry admitted since
     * @param guarantees the accelerators that each workspace is guaranteed
     * @param ageMs how long ago the job was sent first, in milliseconds, as far as is known
     * @param usualChainMs the longest chain of the queue's jobs on average, in milliseconds; empty if few are known
     * @param returned whether the job was refused before and is sent again
     */
    public record Circumstances(
            BacklogSnapshot backlog,
            Map<String, Integer> guarantees,
            long ageMs,
            OptionalDouble usualChainMs,
            boolean returned) {}

    /**
     * Returns the expected running time of a job's longest chain of tasks, in milliseconds, by its own estimates; a step
     * that is wide for its pool runs in waves.
     */
    static double chainMs(BatchJob job, Resources capacity) {
        double[] endMs = new double[job.steps().size()];
        double longest = 0;
        for (int i = 0; i < endMs.length; i++) {
            StepSpec step = job.steps().get(i);
            double startMs =
                    step.after().stream().mapToDouble(a -> endMs[a]).max().orElse(0);
            endMs[i] = startMs + Math.max(0, step.estimatedMs()) * waves(step, capacity);
            longest = Math.max(longest, endMs[i]);
        }
        return longest;
    }

    private static double waves(StepSpec step, Resources capacity) {
        double part = Work.of(step.need(), step.taskCount()).drainMs(capacity);
        return Math.min(step.taskCount(), Math.max(1, Math.ceil(part / WAVE_PART)));
    }

    /** Tells whether a job recurs or runs until it is cancelled, so that its work has no end that could be awaited. */
    static boolean lasts(BatchJob job) {
        return job.recurrence() != null || job.steps().stream().anyMatch(StepSpec::longRunning);
    }

    /** Returns the work of a job, by its own estimates; none for one that lasts. */
    static Work workOf(BatchJob job) {
        if (lasts(job)) {
            return Work.NONE;
        }
        return job.steps().stream()
                .map(s -> Work.of(s.occupied(), (double) Math.max(0, s.estimatedMs()) * s.taskCount()))
                .reduce(Work.NONE, Work::plus);
    }

    /** Decides on a job. */
    public static AdmissionVerdict decide(BatchJob job, Circumstances at) {
        if (!at.backlog().hasRoomFor(job)) {
            boolean everAdmitted = TaskBudget.admits(0, 0, job.tasksPerOccurrence());
            OptionalInt retryAfterS = everAdmitted
                    ? RefusalPacer.spread(job.id(), RefusalPacer.MIN_DELAY_S, RefusalPacer.MAX_DELAY_S)
                    : OptionalInt.empty();
            return verdict(Reason.TOO_MANY_TASKS, 0, 0, retryAfterS);
        }
        PoolBacklog pool = at.backlog().pool(job.pool()).orElse(null);
        if (pool == null || pool.capacity().equals(Resources.NONE)) {
            return AdmissionVerdict.of(Reason.UNKNOWN_BACKLOG);
        }
        double chainMs = chainMs(job, pool.capacity());
        if (lasts(job) || job.objective() == null || chainMs <= 0) {
            return AdmissionVerdict.of(Reason.UNLIMITED);
        }
        if (job.steps().stream().anyMatch(s -> !s.occupied().fitsIn(pool.largest()))) {
            return AdmissionVerdict.of(Reason.NEVER_FITS);
        }
        if (isGuaranteed(job, at)) {
            return AdmissionVerdict.of(Reason.GUARANTEED);
        }
        if (at.usualChainMs().isEmpty()) {
            return AdmissionVerdict.of(Reason.UNKNOWN_CHAIN);
        }
        // An estimate of one job may be several times too short, and then its time would seem to end too early.
        double longerMs = Math.max(chainMs, at.usualChainMs().getAsDouble());
        double leftMs = job.objective().usefulMs(longerMs) - longerMs - at.ageMs();
        return decide(job, pool, leftMs, at);
    }

    private static AdmissionVerdict decide(BatchJob job, PoolBacklog pool, double leftMs, Circumstances at) {
        Map<String, Double> waitingMs = pool.waitingMs(job.priority());
        double ownMs = waitingMs.getOrDefault(job.workspace(), 0.0);
        double drainMs = pool.drainMs(job.priority());
        // What another workspace has beyond this one's own is not ahead of the job, if the pool is shared fairly.
        double beyondMs = waitingMs.values().stream()
                .mapToDouble(ms -> Math.max(0, ms - ownMs))
                .sum();
        double waitMs = Math.max(0, drainMs - beyondMs);
        if (waitMs > leftMs) {
            return verdict(Reason.PAST_USE, waitMs, leftMs, OptionalInt.empty());
        }
        double shareMs = waitingMs.values().stream().mapToDouble(ms -> ms).sum()
                / Math.max(1, Math.max(waitingMs.size(), at.guarantees().size()));
        // A job that was refused before goes before those that come first.
        boolean last = ownMs >= shareMs && !at.returned();
        if (last && waitMs > PART_BEYOND_SHARE * leftMs) {
            return verdict(Reason.BEYOND_SHARE, waitMs, leftMs, retryAfterS(job.id(), ownMs - shareMs, waitMs));
        }
        return verdict(Reason.IN_TIME, waitMs, leftMs, OptionalInt.empty());
    }

    /**
     * Returns when to come back: once what the workspace has beyond its share may have drained, at the latest when all has;
     * empty if callers do not wait that long.
     */
    private static OptionalInt retryAfterS(String id, double excessMs, double drainMs) {
        return RefusalPacer.spread(id, (int) Math.ceil(excessMs / MS_PER_S), (int) Math.ceil(drainMs / MS_PER_S));
    }

    private static boolean isGuaranteed(BatchJob job, Circumstances at) {
        long urgent = at.backlog().urgentAccelerators().getOrDefault(job.workspace(), 0L);
        int guarantee = at.guarantees().getOrDefault(job.workspace(), 0);
        return job.priority() == 0 && urgent + job.accelerators() <= guarantee;
    }

    private static AdmissionVerdict verdict(Reason reason, double waitMs, double leftMs, OptionalInt retryAfterS) {
        return new AdmissionVerdict(reason, (long) waitMs, (long) leftMs, retryAfterS);
    }
}
