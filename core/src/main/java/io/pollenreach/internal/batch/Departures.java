package io.pollenreach.internal.batch;

/**
 * Gives up runs on workers that have announced when they leave, if they are not expected to end before that.
 *
 * <p>Answers the load of workers that are taken away at short notice while others are full. A run that is kept until its
 * worker ends holds the capacity of its whole gang to no purpose, and its task is placed again only when the worker is known
 * to be gone; a run that is stopped before then saves its work if it can.
 *
 * <p>Invariants: a run is given up only on a worker that takes no tasks and has told when it leaves; long-running tasks and
 * fillers are left alone, since each moment that they run is of use. Not thread-safe: confined to the scheduler's thread.
 */
final class Departures {
    /** Time from the end of a run until the scheduler knows of it, in milliseconds. */
    static final long END_REPORT_MS = 200;

    /**
     * By which part of the time that a run has taken it may be expected to end after its worker leaves and is still kept.
     * The announced time is the least, the expected one is inexact, and the more a run has done, the more is lost.
     */
    private static final double KEPT_PART = 0.1;

    private final SchedulerState state;
    private final DecisionLog log;

    Departures(SchedulerState state, DecisionLog log) {
        this.state = state;
        this.log = log;
    }

    /** Decides on the runs of a worker by its newest report. */
    void review(WorkerAllocations w, long nowMs) {
        long leavesInMs = w.report().outlook().leavesInMs();
        if (leavesInMs == 0 || w.report().takesTasks() || w.report().lost() || !w.isReadable()) {
            return;
        }
        Forecast forecast = new Forecast(state, nowMs);
        for (TaskRun run : w.runs()) {
            JobProgress job = state.jobs().get(run.task().job());
            if (job != null && !job.phase().ended() && isMovable(job.spec(run.task()))) {
                long remainingMs = forecast.remainingMs(run, w);
                job.find(run.task())
                        .filter(t -> t.isPlacedAs(w.name(), run.run()))
                        .filter(t -> isLate(remainingMs, leavesInMs, nowMs - t.placedMs()))
                        .ifPresent(t -> giveUp(job, t, remainingMs, leavesInMs, nowMs));
            }
        }
    }

    private static boolean isLate(long remainingMs, long leavesInMs, long ranMs) {
        return remainingMs + END_REPORT_MS > leavesInMs + KEPT_PART * ranMs;
    }

    private static boolean isMovable(StepSpec spec) {
        return !spec.longRunning() && !spec.filler();
    }

    private void giveUp(JobProgress job, TaskProgress t, long remainingMs, long leavesInMs, long nowMs) {
        state.orderCounts().recordGivenUp();
        log.logDecision(
                "run-given-up",
                "task",
                t.id(),
                "run",
                t.run(),
                "worker",
                t.worker(),
                "remainingMs",
                remainingMs,
                "leavesInMs",
                leavesInMs);
        state.stop(t, nowMs);
        state.requeueWithGang(job, t, nowMs);
        state.recordChange(job);
    }
}
