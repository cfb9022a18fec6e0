package io.pollenreach.internal.batch;

/** How a run ended. Immutable. */
public enum EndKind {
    /** The task did its work. */
    DONE,
    /** The task or its worker failed; counts as an attempt. */
    FAILED,
    /** The scheduler stopped it. */
    STOPPED,
    /** The worker's lease ran out. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not come in time. */
    ALONE,
    /** The worker says that this run is not there and never will be. */
    REFUSED
}
