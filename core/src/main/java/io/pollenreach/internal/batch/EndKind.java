package io.pollenreach.internal.batch;

/** How a run ended. Immutable. */
public enum EndKind {
    /** The task completed its work. */
    DONE,
    /** The task or its worker failed; counts as an attempt. */
    FAILED,
    /** The scheduler stopped the run. */
    STOPPED,
    /** The worker's lease expired. */
    LAPSED,
    /** The run ended because another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not start in time. */
    ALONE,
    /** The worker refused the run: it has no such run and will never start it. */
    REFUSED;

    /** Tells whether a run that ended so had been started by its worker. */
    public boolean provesStart() {
        return this != REFUSED;
    }
}
