package io.pollenreach.internal.batch;

/** Why the runs of a worker count as ended although their ends were not listed. Immutable. */
public enum LossReason {
    /** No lease that the worker can have been granted is valid any more. */
    LEASE_EXPIRED("lease-expired"),
    /** An earlier leader marked the worker as lost. */
    MARKED_BEFORE("marked-before"),
    /** The worker's agent has registered another process, or none. */
    PROCESS_CHANGED("process-changed"),
    /** No orders that a new leader read contain the run. */
    NOT_ORDERED("not-ordered"),
    /** The orders of the worker could not be read, and its agent does not list the run. */
    NOT_LISTED("not-listed");

    private final String logName;

    LossReason(String logName) {
        this.logName = logName;
    }

    /** Returns the name in log lines. */
    public String logName() {
        return logName;
    }
}
