package io.pollenreach.internal.batch;

/**
 * Records which jobs have started, by what workers show of their runs.
 *
 * <p>Invariant: an order alone starts nothing; a job has started once its worker lists one of its runs, or the end of one.
 * Not thread-safe: confined to the scheduler's thread.
 */
final class JobStarts {
    private final SchedulerState state;
    private final DecisionLog log;

    JobStarts(SchedulerState state, DecisionLog log) {
        this.state = state;
        this.log = log;
    }

    /** Records the runs that a report shows at work. */
    void recordActive(WorkerReport report, long nowMs) {
        for (RunningTask active : report.active()) {
            if (active.isConfirmed()) {
                record(report.agent(), active.run(), nowMs);
            }
        }
    }

    /** Records the run that an end is of, unless it never began. */
    void recordEnd(String worker, RunEnd end, long nowMs) {
        if (end.kind().provesStart()) {
            record(worker, end.run(), nowMs);
        }
    }

    private void record(String worker, TaskRun run, long nowMs) {
        JobProgress job = state.jobs().get(run.task().job());
        boolean ordered = job != null
                && job.find(run.task()).filter(t -> run.run() <= t.run()).isPresent();
        if (!ordered || !job.markStarted()) {
            return;
        }
        state.recordChange(job);
        log.logDecision(
                "job-started",
                "job",
                job.job().id(),
                "task",
                run.task(),
                "run",
                run.run(),
                "worker",
                worker,
                "sinceAcceptedMs",
                nowMs - job.acceptedMs());
    }
}
