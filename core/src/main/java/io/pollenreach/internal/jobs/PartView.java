package io.pollenreach.internal.jobs;

/**
 * What an entry knows of one part of a job's newest attempt.
 *
 * <p>Immutable; each constant says what it means for the gang.
 */
public enum PartView {
    /** Nothing has been heard since the placement; its worker announces itself. */
    UNKNOWN(false, false),
    /** Held but not yet let run. */
    PREPARED(false, false),
    /** Runs. */
    RUNNING(false, false),
    /** Finished with success. */
    SUCCEEDED(true, false),
    /** The task ended with a failure. */
    FAILED(true, true),
    /** Stopped, or the agent does not hold it any more. */
    STOPPED(true, true),
    /** The worker has been silent so long that its task's lease has surely lapsed. */
    LAPSED(true, true);

    private final boolean ended;
    private final boolean broken;

    PartView(boolean ended, boolean broken) {
        this.ended = ended;
        this.broken = broken;
    }

    /** Tells whether the part surely runs no more. */
    public boolean ended() {
        return ended;
    }

    /** Tells whether the gang can't succeed any more. */
    public boolean broken() {
        return broken;
    }
}
