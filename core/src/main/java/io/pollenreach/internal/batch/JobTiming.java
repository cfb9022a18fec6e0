package io.pollenreach.internal.batch;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The times of one job by what is known in one placement pass: its longest chains of work and what can still be reached.
 *
 * <p>Computed once per job and pass. A job has an objective only if its queue does, none of its steps is long-running, and workers
 * of different speeds are known.
 * All times are milliseconds of the scheduler's monotonic clock. Not thread-safe.
 */
final class JobTiming {
    /** How long a job that is past use may wait for others that are not, in milliseconds. */
    private static final long MAX_PAST_USE_WAIT_MS = 60_000;

    /** Time from a placement until the worker has begun, and from the end until it is known, in milliseconds. */
    private static final long START_AND_END_MS = 200;

    /** By how much an expected running time may be too short. */
    private static final double UNCERTAINTY = 2;

    /**
     * What has to be known beside the job.
     *
     * <p>Immutable.
     *
     * @param uneven whether workers of different speeds are known; objectives count only then, because where all are alike
     *     jobs are served as well in the order of acceptance
     */
    record Context(RunTimes runTimes, PoolCapacity capacity, boolean uneven, long nowMs, long wallMs) {}

    private final JobProgress job;
    private final Context context;
    /** The longest chain of work from the start of each step on, by half and by nine of ten of all runs. */
    private final double[] medianFromMs;

    private final double[] highFromMs;
    private final boolean hasObjective;

    JobTiming(JobProgress job, Context context) {
        this.job = job;
        this.context = context;
        hasObjective = context.uneven()
                && job.job().objective() != null
                && job.job().steps().stream().noneMatch(StepSpec::longRunning);
        medianFromMs = hasObjective ? chains(RunTimes.Expectation::medianMs) : new double[0];
        highFromMs = hasObjective ? chains(RunTimes.Expectation::highMs) : new double[0];
    }

    private double[] chains(ToDoubleFunction<RunTimes.Expectation> time) {
        List<StepSpec> steps = job.job().steps();
        double[] from = new double[steps.size()];
        for (int s = steps.size() - 1; s >= 0; s--) {
            // A step follows only earlier ones, so this one's successors have been counted.
            double own = time.applyAsDouble(context.runTimes().of(job.job(), s));
            from[s] += own * waves(s, steps.get(s).taskCount());
            for (int before : steps.get(s).after()) {
                from[before] = Math.max(from[before], from[s]);
            }
        }
        return from;
    }

    private double waves(int step, int tasks) {
        return context.capacity()
                .waves(job.job().pool(), job.job().steps().get(step).need(), tasks);
    }

    boolean isOf(JobProgress other) {
        return job == other;
    }

    boolean hasObjective() {
        return hasObjective;
    }

    /** Returns the time from which on an occurrence is expected to be served. */
    long servedFromMs(int occurrence) {
        long dueMs = job.job().dueMs(occurrence) - context.wallMs() + context.nowMs();
        return Math.max(job.acceptedMs(), dueMs);
    }

    /** Returns the time until which an occurrence is in time, by half of all runs. */
    double dueMs(int occurrence) {
        return servedFromMs(occurrence) + job.job().objective().inTimeMs(longest(medianFromMs));
    }

    /** Returns the time from which on an occurrence is of no use, by nine of ten runs. */
    double uselessMs(int occurrence) {
        return servedFromMs(occurrence) + job.job().objective().usefulMs(longest(highFromMs));
    }

    /** Tells whether an occurrence has been of no use for longer than it may wait for others. */
    boolean hasStarved(int occurrence) {
        return hasObjective && context.nowMs() - uselessMs(occurrence) > MAX_PAST_USE_WAIT_MS;
    }

    /** Returns the latest time at which the remaining tasks of a step may start for its occurrence to be in time; requires an objective. */
    double latestStartMs(int occurrence, int step, int tasks) {
        return dueMs(occurrence) - remaining(medianFromMs, step, tasks, RunTimes.Expectation::medianMs);
    }

    /** Returns the longest chain from a step on of which only some tasks are left. */
    private double remaining(double[] from, int step, int tasks, ToDoubleFunction<RunTimes.Expectation> time) {
        int all = job.job().steps().get(step).taskCount();
        double wavesDone = waves(step, all) - waves(step, tasks);
        return START_AND_END_MS
                + from[step]
                - wavesDone * time.applyAsDouble(context.runTimes().of(job.job(), step));
    }

    /**
     * Returns what can be reached if the remaining tasks of a step start now. Judged by long runs, since the more work a job turns out
     * to have, the more time it is given.
     */
    Timeliness timeliness(int occurrence, int step, int tasks) {
        if (!hasObjective) {
            return Timeliness.IN_TIME;
        }
        double endMs = context.nowMs()
                - servedFromMs(occurrence)
                + remaining(highFromMs, step, tasks, RunTimes.Expectation::highMs);
        JobObjective objective = job.job().objective();
        if (endMs <= objective.inTimeMs(longest(highFromMs))) {
            return Timeliness.IN_TIME;
        }
        boolean useful = endMs <= objective.usefulMs(longest(highFromMs));
        return useful ? Timeliness.LATE : Timeliness.PAST_USE;
    }

    /**
     * Tells whether a step that starts now could be in time if all runs took a multiple of what long ones are expected to
     * take. Expectations may be estimates that are several times too short.
     */
    boolean couldBeInTime(int occurrence, int step, int tasks) {
        if (!hasObjective) {
            return true;
        }
        double workMs = remaining(highFromMs, step, tasks, RunTimes.Expectation::highMs) - START_AND_END_MS;
        double endMs = context.nowMs() - servedFromMs(occurrence) + START_AND_END_MS + UNCERTAINTY * workMs;
        return endMs <= job.job().objective().inTimeMs(UNCERTAINTY * longest(highFromMs));
    }

    /** Returns the work of some tasks of a step, in milliseconds of the whole pool. */
    double poolMs(int step, int tasks) {
        double taskMs = context.runTimes().of(job.job(), step).medianMs();
        return taskMs
                * tasks
                * context.capacity()
                        .fraction(job.job().pool(), job.job().steps().get(step).need());
    }

    private static double longest(double[] chains) {
        double longest = 0;
        for (double ms : chains) {
            longest = Math.max(longest, ms);
        }
        return longest;
    }
}
