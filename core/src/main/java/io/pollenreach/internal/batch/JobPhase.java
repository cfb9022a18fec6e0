package io.pollenreach.internal.batch;

/** Where a job made of steps stands. Immutable. */
public enum JobPhase {
    /** Accepted; no task has started yet. */
    QUEUED,
    /** At least one task has been placed. */
    RUNNING,
    /** Every task is done. */
    COMPLETED,
    /** A task failed as often as it may. */
    FAILED,
    /** Cancelled by its submitter. */
    CANCELLED;

    /** Tells whether the job has ended. */
    public boolean ended() {
        return this != QUEUED && this != RUNNING;
    }
}
