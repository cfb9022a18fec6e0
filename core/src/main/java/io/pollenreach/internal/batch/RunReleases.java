package io.pollenreach.internal.batch;

import java.util.List;

/**
 * Gives up runs whose agent listed no end, so that their tasks may be placed again.
 *
 * <p>Invariant: only runs that their agent has refused or stopped are given up elsewhere. Not thread-safe: confined to
 * the scheduler's thread.
 */
final class RunReleases {
    private final SchedulerState state;
    private final DecisionLog log;

    RunReleases(SchedulerState state, DecisionLog log) {
        this.state = state;
        this.log = log;
    }

    /**
     * Gives up all runs that a worker was ordered to keep.
     *
     * @param previousAgeMs the age of the worker's previous report, in milliseconds
     */
    void releaseAll(WorkerAllocations w, LossReason reason, long previousAgeMs, long nowMs) {
        List<TaskRun> runs = w.runs();
        w.startIncarnation();
        state.recordChange(w);
        log.logDecision(
                "worker-runs-lost",
                "worker",
                w.name(),
                "incarnation",
                w.report().incarnation(),
                "why",
                reason.logName(),
                "previousReportAgeMs",
                previousAgeMs,
                "runs",
                runs.size());
        runs.forEach(r -> release(w, r, reason, previousAgeMs, nowMs));
    }

    /** Gives up some of a worker's runs and stops them; their tasks are not placed before their worker has seen that. */
    void releaseStopped(WorkerAllocations w, List<TaskRun> runs, LossReason reason, long previousAgeMs, long nowMs) {
        for (TaskRun run : runs) {
            w.stop(run, nowMs);
            release(w, run, reason, previousAgeMs, nowMs);
        }
    }

    private void release(WorkerAllocations w, TaskRun run, LossReason reason, long previousAgeMs, long nowMs) {
        JobProgress job = state.jobs().get(run.task().job());
        if (job != null) {
            job.find(run.task())
                    .filter(t -> t.isPlacedAs(w.name(), run.run()))
                    .ifPresent(t -> release(job, t, reason, previousAgeMs, nowMs));
        }
    }

    /** Gives up a task's run; {@code previousAgeMs} is as above. */
    void release(JobProgress job, TaskProgress t, LossReason reason, long previousAgeMs, long nowMs) {
        String worker = t.worker();
        state.observations().recordCutOff(t, nowMs);
        state.recordChange(job);
        state.requeueWithGang(job, t, nowMs);
        log.logDecision(
                "task-lost",
                "task",
                t.id(),
                "run",
                t.run(),
                "worker",
                worker,
                "why",
                reason.logName(),
                "previousReportAgeMs",
                previousAgeMs,
                "checkpoint",
                t.checkpoint());
    }
}
