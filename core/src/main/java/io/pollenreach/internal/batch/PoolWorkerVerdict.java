package io.pollenreach.internal.batch;

/**
 * Why a worker of a step's pool did not get a task that waits.
 *
 * <p>The constants are in the order of precedence: the first that applies is the verdict. Whether a worker is eligible is
 * decided by {@link WorkerChoice}; the verdict names the reason. Immutable.
 */
public enum PoolWorkerVerdict {
    /** Its leases have expired. */
    LOST("is lost") {
        @Override
        boolean appliesTo(PoolWorker w) {
            return !w.eligible() && w.worker().report().lost();
        }
    },
    /** Its report or its orders cannot be read. */
    UNREADABLE("has a report or orders that can't be read") {
        @Override
        boolean appliesTo(PoolWorker w) {
            return !w.eligible() && !w.worker().isReadable();
        }
    },
    /** It drains, or its agent is taking it over. */
    NOT_TAKING_TASKS("takes no tasks: it drains, or its agent is taking it over") {
        @Override
        boolean appliesTo(PoolWorker w) {
            return !w.eligible() && !w.worker().report().takesTasks();
        }
    },
    /** Its availability zone is under evacuation. */
    EVACUATED("is in an availability zone under evacuation") {
        @Override
        boolean appliesTo(PoolWorker w) {
            return !w.eligible() && w.evacuated();
        }
    },
    /** Its last report is too old. */
    SILENT("has not reported lately") {
        @Override
        boolean appliesTo(PoolWorker w) {
            return !w.eligible() && w.reportAgeMs() > PlacementPass.MAX_REPORT_AGE_MS;
        }
    },
    /** It failed several tasks in a row. */
    EXCLUDED("is excluded, because it failed several tasks in a row") {
        @Override
        boolean appliesTo(PoolWorker w) {
            return !w.eligible() && w.worker().health().isExcluded(w.nowMs());
        }
    },
    /** It lacks the label that the step requires. */
    NO_LABEL("lacks the label that the step requires") {
        @Override
        boolean appliesTo(PoolWorker w) {
            return !w.eligible() && !w.worker().report().has(w.unit().spec().requiredLabel());
        }
    },
    /** The task, or tasks recently, failed there. */
    AVOIDED("is avoided for a while, because this task or others lately failed there") {
        @Override
        boolean appliesTo(PoolWorker w) {
            return !w.eligible();
        }
    },
    /** It could not hold a task even if it were idle. */
    TOO_SMALL("is smaller than one task needs") {
        @Override
        boolean appliesTo(PoolWorker w) {
            return !w.need().fitsIn(w.worker().report().capacity());
        }
    },
    /** The queue's advisor has not allowed it. */
    NOT_ADVISED("is not allowed by the advisor of the queue, as far as known") {
        @Override
        boolean appliesTo(PoolWorker w) {
            return !w.advised();
        }
    },
    /** It runs as many tasks of the step as one worker may. */
    STEP_LIMIT("runs as many tasks of this step as one worker may") {
        @Override
        boolean appliesTo(PoolWorker w) {
            int most = w.unit().spec().maxPerWorker();
            return most > 0 && w.worker().countOfStep(w.unit().first()) >= most;
        }
    },
    /** Its runs, those being stopped included, leave too little. */
    FULL("has too little free capacity") {
        @Override
        boolean appliesTo(PoolWorker w) {
            return w.worker().freeRuns() == 0 || !w.need().fitsIn(w.worker().free());
        }
    },
    /** It is on another rack than the data, and the task still waits for that rack. */
    OTHER_RACK("has free capacity, but the task waits for the rack of its data") {
        @Override
        boolean appliesTo(PoolWorker w) {
            return w.awayFromData();
        }
    },
    /** It would hold a task, and still got none. */
    KEPT(
            "has free capacity, but it is claimed for work ahead, the gang fits nowhere whole, or a faster one is awaited") {
        @Override
        boolean appliesTo(PoolWorker w) {
            return true;
        }
    };

    private final String sentence;

    PoolWorkerVerdict(String sentence) {
        this.sentence = sentence;
    }

    /** Returns the explanation shown to people; it follows the name of the worker. */
    public String sentence() {
        return sentence;
    }

    abstract boolean appliesTo(PoolWorker w);

    static PoolWorkerVerdict on(PoolWorker w) {
        for (PoolWorkerVerdict v : values()) {
            if (v.appliesTo(w)) {
                return v;
            }
        }
        throw new IllegalStateException("no verdict on worker " + w.worker().name());
    }
}
