package io.pollenreach.internal.batch;

/**
 * Detects from the ends of runs whether a worker fails whatever task it starts.
 *
 * <p>A worker on which several different tasks failed, with none done in between, is excluded for a time that
 * doubles with each further failure. A worker on which a task failed right after its start is suspect: it is used
 * only if no other worker fits. Not thread-safe: confined to the scheduler's thread.
 */
final class WorkerHealth {
    /** Consecutive failures that exclude a worker; a single failure may be the task's own fault. */
    static final int FAILURES_TO_EXCLUDE = 2;
    /** Duration of the first exclusion, in milliseconds: about as long as the platform's short faults last. */
    static final long FIRST_EXCLUSION_MS = 3_000;

    static final long MAX_EXCLUSION_MS = 12_000;

    private int failures;
    private String lastJob = "";
    private long excludedUntilMs;
    private long suspectUntilMs;

    /** Records a failure right after a start, which is rarely the task's own fault. */
    void recordImmediateFailure(TaskId task, long nowMs) {
        recordFailure(task, nowMs);
        suspectUntilMs = nowMs + FIRST_EXCLUSION_MS;
    }

    void recordFailure(TaskId task, long nowMs) {
        // Consecutive failures of one job are more likely the job's fault than the worker's.
        if (task.job().equals(lastJob)) {
            return;
        }
        lastJob = task.job();
        failures++;
        if (failures >= FAILURES_TO_EXCLUDE) {
            long exclusionMs = FIRST_EXCLUSION_MS << Math.min(failures - FAILURES_TO_EXCLUDE, 4);
            excludedUntilMs = nowMs + Math.min(exclusionMs, MAX_EXCLUSION_MS);
        }
    }

    void recordSuccess() {
        reset();
    }

    void reset() {
        failures = 0;
        lastJob = "";
        excludedUntilMs = 0;
        suspectUntilMs = 0;
    }

    boolean isExcluded(long nowMs) {
        return nowMs < excludedUntilMs;
    }

    boolean isSuspect(long nowMs) {
        return nowMs < suspectUntilMs;
    }

    int failures() {
        return failures;
    }
}
