package io.pollenreach.internal.batch;

/**
 * Which runs may be stopped for a unit, from those that are stopped first to the last resort.
 *
 * <p>Invariant: none includes a run with accelerators that its workspace's guarantee covers. Immutable.
 */
enum VictimScope {
    /** Runs of less urgent jobs. */
    LESS_URGENT {
        @Override
        boolean includes(JobProgress job, TaskProgress t, int priority, GuaranteeShares shares) {
            return job.job().priority() > priority;
        }
    },

    /** Besides, runs of priority 0 on accelerators that their workspace has borrowed, as many as it has. */
    BORROWED {
        @Override
        boolean includes(JobProgress job, TaskProgress t, int priority, GuaranteeShares shares) {
            return LESS_URGENT.includes(job, t, priority, shares)
                    || isUncovered(job, t, shares) && job.spec(t.id()).need().accelerators() > 0;
        }
    },

    /**
     * Besides, any run of priority 0 that is not covered, and those of jobs without accelerators. Work that a workspace
     * borrowed in part, such as a gang, or that lies on many workers, may leave no room otherwise.
     */
    UNCOVERED {
        @Override
        boolean includes(JobProgress job, TaskProgress t, int priority, GuaranteeShares shares) {
            return LESS_URGENT.includes(job, t, priority, shares)
                    || isUncovered(job, t, shares)
                    || job.job().accelerators() == 0;
        }
    };

    /** Tells whether a run may be stopped for a unit of a priority. */
    abstract boolean includes(JobProgress job, TaskProgress t, int priority, GuaranteeShares shares);

    private static boolean isUncovered(JobProgress job, TaskProgress t, GuaranteeShares shares) {
        return !shares.covers(job, t.id().occurrence());
    }
}
