package io.pollenreach;

import java.util.EnumSet;
import java.util.Set;

/**
 * The states of a job and the transitions between them.
 *
 * <p>Every job that is accepted reaches a terminal state. The state is a column of the job's row; only compare-and-set
 * on the row's version changes it. Immutable.
 */
public enum JobState {
    /** Accepted and waiting for accelerators. */
    WAITING,
    /** Placed: the row names the attempt and its workers, which prepare. */
    STARTING,
    /** Every part runs. */
    RUNNING,
    /** Being stopped so that it can wait again or end. */
    STOPPING,
    /** Ended: every part finished with success. */
    SUCCEEDED,
    /** Ended: the task failed, or the job can never run, or its attempts are used up. */
    FAILED,
    /** Ended: cancelled before it finished. */
    CANCELLED;

    /** Tells whether the job has ended. */
    public boolean terminal() {
        return this == SUCCEEDED || this == FAILED || this == CANCELLED;
    }

    /** Tells whether the job may hold accelerators. */
    public boolean placed() {
        return this == STARTING || this == RUNNING || this == STOPPING;
    }

    /** Returns the states that may follow this one. */
    public Set<JobState> next() {
        switch (this) {
            case WAITING:
                return EnumSet.of(STARTING, FAILED, CANCELLED);
            case STARTING:
                return EnumSet.of(RUNNING, STOPPING, SUCCEEDED, FAILED);
            case RUNNING:
                return EnumSet.of(STOPPING, SUCCEEDED, FAILED);
            case STOPPING:
                return EnumSet.of(WAITING, SUCCEEDED, FAILED, CANCELLED);
            default:
                return EnumSet.noneOf(JobState.class);
        }
    }
}
