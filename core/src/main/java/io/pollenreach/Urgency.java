package io.pollenreach;

/**
 * How soon a job is owed its start.
 *
 * <p>Immutable; each constant says how it takes part in the order of waiting jobs and in reclaim.
 */
public enum Urgency {
    /** Starts at once within the workspace's guarantee, and may reclaim from borrowers. */
    URGENT(0, true),
    /** Ordinary work: reclaims within the guarantee, behind urgent work. */
    NORMAL(1, true),
    /** Patient work: runs only on what nobody else wants and never reclaims. */
    BATCH(2, false);

    private final int rank;
    private final boolean reclaims;

    Urgency(int rank, boolean reclaims) {
        this.rank = rank;
        this.reclaims = reclaims;
    }

    /** Returns the place in the order of waiting jobs; lower goes first. */
    public int rank() {
        return rank;
    }

    /** Tells whether a job within its guarantee may stop borrowers to get its accelerators. */
    public boolean reclaims() {
        return reclaims;
    }
}
