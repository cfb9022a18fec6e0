package io.pollenreach.internal.jobs;

/**
 * The state of one part of a job's newest attempt, as far as an entry knows it.
 *
 * <p>Immutable.
 */
public enum PartView {
    /** The agent has not reported the part since the placement, but the lease of its task may still be valid. */
    UNKNOWN(false, false),
    /** Prepared at its agent and waiting for its release. */
    PREPARED(false, false),
    /** Running, or stopping at its agent. */
    RUNNING(false, false),
    /** The task ended successfully. */
    SUCCEEDED(true, false),
    /** The task ended with a failure. */
    FAILED(true, true),
    /** Stopped, or no longer known to its agent. */
    STOPPED(true, true),
    /** Without contact to the worker for so long that the lease of the task has expired. */
    LAPSED(true, true);

    private final boolean ended;
    private final boolean preventsSuccess;

    PartView(boolean ended, boolean preventsSuccess) {
        this.ended = ended;
        this.preventsSuccess = preventsSuccess;
    }

    /** Tells whether the part has ended and cannot run again. */
    public boolean ended() {
        return ended;
    }

    /** Tells whether a part in this state makes it impossible for the gang to succeed. */
    public boolean preventsSuccess() {
        return preventsSuccess;
    }
}
