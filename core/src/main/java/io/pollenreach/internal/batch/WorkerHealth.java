package io.pollenreach.internal.batch;

/**
 * Judges from the ends of runs whether a worker fails whatever it starts.
 *
 * <p>A worker on which several different tasks failed, with none done in between, is set aside for a while that doubles with
 * each further failure. One on which a task failed right after its start is suspect: used only where no other would do. Not safe for use by many threads: the scheduler's thread owns it.
 */
final class WorkerHealth {
    /** Failures in a row that set a worker aside: one may be the task's own fault. */
    static final int FAILURES_TO_SET_ASIDE = 2;
    /** The first time aside, in milliseconds: about as long as the platform's short faults last. */
    static final long FIRST_ASIDE_MS = 3_000;

    static final long MAX_ASIDE_MS = 12_000;

    private int failures;
    private String lastJob = "";
    private long asideUntilMs;
    private long suspectUntilMs;

    /** Takes a failure right after a start, which tasks by themselves hardly ever show. */
    void recordImmediateFailure(TaskId task, long nowMs) {
        recordFailure(task, nowMs);
        suspectUntilMs = nowMs + FIRST_ASIDE_MS;
    }

    void recordFailure(TaskId task, long nowMs) {
        // A job whose tasks fail one after the other says little about the worker.
        if (task.job().equals(lastJob)) {
            return;
        }
        lastJob = task.job();
        failures++;
        if (failures >= FAILURES_TO_SET_ASIDE) {
            long asideMs = FIRST_ASIDE_MS << Math.min(failures - FAILURES_TO_SET_ASIDE, 4);
            asideUntilMs = nowMs + Math.min(asideMs, MAX_ASIDE_MS);
        }
    }

    void recordSuccess() {
        reset();
    }

    void reset() {
        failures = 0;
        lastJob = "";
        asideUntilMs = 0;
        suspectUntilMs = 0;
    }

    boolean isExcluded(long nowMs) {
        return nowMs < asideUntilMs;
    }

    boolean isSuspect(long nowMs) {
        return nowMs < suspectUntilMs;
    }

    int failures() {
        return failures;
    }
}
