package io.pollenreach.internal.batch;

import java.util.List;

/**
 * Applies the ends of runs to the tasks that they belong to.
 *
 * <p>Invariant: an end counts only for the task's current run, and once. Not thread-safe: confined to the scheduler's
 * thread.
 */
final class RunEnds {
    /**
     * A run that fails within this time of its placement counts as failed at its start, in milliseconds. About half
     * of the time passes before the failure is reported.
     */
    private static final long IMMEDIATE_FAILURE_MS = 300;

    private final SchedulerState state;
    private final JobStarts starts;
    private final RunObservations observations;
    private final DecisionLog log;

    RunEnds(SchedulerState state, JobStarts starts, RunObservations observations, DecisionLog log) {
        this.state = state;
        this.starts = starts;
        this.observations = observations;
        this.log = log;
    }

    /** Applies an end that a worker reported. */
    void apply(WorkerAllocations w, RunEnd end, long nowMs) {
        if (end.kind() == EndKind.STOPPED) {
            w.stopAgeMs(end.run(), nowMs)
                    .ifPresent(ms -> observations.stopTimes().observe(w.report().pool(), ms));
        }
        if (w.remove(end.run()) || end.kind() != EndKind.REFUSED) {
            state.recordChange(w);
        }
        starts.recordEnd(w.name(), end, nowMs);
        TaskRun run = end.run();
        JobProgress job = state.jobs().get(run.task().job());
        TaskProgress t = job == null ? null : job.find(run.task()).orElse(null);
        boolean current = t != null && (t.isPlacedAs(w.name(), run.run()) || t.awaitsEndOf(run.run()));
        if (end.kind() != EndKind.REFUSED || current) {
            log.logDecision(
                    "run-ended",
                    "task",
                    run.task(),
                    "run",
                    run.run(),
                    "worker",
                    w.name(),
                    "kind",
                    end.kind(),
                    "number",
                    end.number(),
                    "current",
                    current);
        }
        if (!current || job.phase().ended()) {
            return;
        }
        state.recordChange(job);
        t.recordEnd();
        if (end.kind() == EndKind.REFUSED) {
            state.advice().removeTicket(StepId.of(t.id()), w.report().instance());
        }
        job.saveCheckpoint(t, end.checkpoint());
        switch (end.kind()) {
            case DONE -> finish(w, job, t, nowMs);
            case FAILED -> fail(w, job, t, nowMs);
            default -> {
                observations.recordCutOff(t, nowMs);
                state.requeueWithGang(job, t, nowMs);
            }
        }
    }

    private void finish(WorkerAllocations w, JobProgress job, TaskProgress t, long nowMs) {
        StepSpec spec = job.spec(t.id());
        observations.recordDone(t, nowMs);
        w.health().recordSuccess();
        if (spec.longRunning()) {
            state.requeueWithGang(job, t, nowMs);
            return;
        }
        if (spec.gang()) {
            // When one member completes, the whole gang is complete.
            for (TaskProgress m : job.step(t.id())) {
                if (m.state() == TaskProgress.State.PLACED) {
                    state.stop(m, nowMs);
                }
                m.finish();
            }
        } else {
            t.finish();
        }
        job.completeWhenDone(t.id().occurrence(), nowMs);
        if (job.phase().ended()) {
            state.advice().removeJob(job.job().id());
            log.logDecision(
                    "job-ended",
                    "job",
                    job.job().id(),
                    "phase",
                    job.phase(),
                    "sinceAcceptedMs",
                    nowMs - job.acceptedMs());
        }
    }

    private void fail(WorkerAllocations w, JobProgress job, TaskProgress t, long nowMs) {
        StepSpec spec = job.spec(t.id());
        List<TaskProgress> failed = spec.gang() ? job.step(t.id()) : List.of(t);
        failed.forEach(m -> m.recordFailure(w.name()));
        boolean immediate = nowMs - t.placedMs() <= IMMEDIATE_FAILURE_MS;
        if (immediate && job.recordImmediateFailure(w.name())) {
            w.health().recordImmediateFailure(t.id(), nowMs);
        } else {
            w.health().recordFailure(t.id(), nowMs);
        }
        if (!spec.longRunning() && t.failures() >= job.job().maxAttempts()) {
            state.end(job, JobPhase.FAILED, nowMs);
            return;
        }
        state.requeueWithGang(job, t, nowMs);
    }
}
