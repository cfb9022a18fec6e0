package io.pollenreach.internal.batch;

/** The phase of a job made of steps. Immutable. */
public enum JobPhase {
    /** Accepted; no worker has shown that it started a task. */
    QUEUED,
    /** A worker has started at least one task. */
    RUNNING,
    /** Every task is done. */
    COMPLETED,
    /** A task reached the maximum number of failed attempts. */
    FAILED,
    /** Cancelled by its submitter. */
    CANCELLED;

    /** Tells whether the job has ended. */
    public boolean ended() {
        return this != QUEUED && this != RUNNING;
    }
}
