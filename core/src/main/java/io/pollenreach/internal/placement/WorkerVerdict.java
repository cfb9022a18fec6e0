package io.pollenreach.internal.placement;

import io.pollenreach.Adjacency;

/**
 * Why a worker gets parts of a job, or none.
 *
 * <p>The constants are in the order of precedence: the first that applies is the verdict. Immutable.
 */
public enum WorkerVerdict {
    /** It gets parts. */
    CHOSEN("gets parts of the job") {
        @Override
        boolean appliesTo(ConsideredWorker w) {
            return w.isChosen();
        }
    },
    /** It is not known to live. */
    SILENT("was not heard lately") {
        @Override
        boolean appliesTo(ConsideredWorker w) {
            return w.isClosedBy(this);
        }
    },
    /** It takes no new parts because an operator or its own shutdown says so. */
    DRAINING("is draining") {
        @Override
        boolean appliesTo(ConsideredWorker w) {
            return w.isClosedBy(this);
        }
    },
    /** The entry skips it for a moment. */
    START_FAILED("is skipped for a moment, because a start failed there") {
        @Override
        boolean appliesTo(ConsideredWorker w) {
            return w.isClosedBy(this);
        }
    },
    /** The placer gives it no parts because of failures. */
    EXCLUDED("is excluded, because too many of its starts failed lately") {
        @Override
        boolean appliesTo(ConsideredWorker w) {
            return !w.state().usable();
        }
    },
    /** The decision was made before any worker was searched. */
    NOT_CONSIDERED("was not considered, because the decision does not depend on it") {
        @Override
        boolean appliesTo(ConsideredWorker w) {
            return !w.turn().considersWorkers();
        }
    },
    /** It could not hold a part even if it were idle. */
    TOO_SMALL("has fewer accelerators than one part needs") {
        @Override
        boolean appliesTo(ConsideredWorker w) {
            return w.state().view().accelerators() < w.acceleratorsPerPart();
        }
    },
    /** It is kept for another job. */
    RESERVED("is reserved for a job that has waited longer") {
        @Override
        boolean appliesTo(ConsideredWorker w) {
            return w.state().reserved();
        }
    },
    /** Stopping every borrower would not free enough. */
    HELD("is held by work that may not be stopped: guaranteed, starting or stopping") {
        @Override
        boolean appliesTo(ConsideredWorker w) {
            return !w.hasFreeCapacity()
                    && w.state().view().accelerators() - w.state().nonReclaimable() < w.acceleratorsPerPart();
        }
    },
    /** Only stopping borrowers would free enough, which is not done for this job. */
    BORROWED("is held by borrowers, which are not stopped there for this job") {
        @Override
        boolean appliesTo(ConsideredWorker w) {
            return !w.hasFreeCapacity();
        }
    },
    /** It has free capacity in another rack than the gang. */
    OTHER_RACK("has free capacity, but the gang is placed in another rack") {
        @Override
        boolean appliesTo(ConsideredWorker w) {
            return w.turn().places() && w.isApart(Adjacency.RACK);
        }
    },
    /** It has free capacity in another zone than the gang. */
    OTHER_ZONE("has free capacity, but the gang is placed in another zone") {
        @Override
        boolean appliesTo(ConsideredWorker w) {
            return w.turn().places() && w.isApart(Adjacency.ZONE);
        }
    },
    /** It has free capacity, and other workers fit better. */
    OUTRANKED("has free capacity, but other workers are preferred") {
        @Override
        boolean appliesTo(ConsideredWorker w) {
            return w.turn().places();
        }
    },
    /** It has free capacity, but not all parts fit near it. */
    GROUP_TOO_SMALL("has free capacity, but the workers near it can't hold all parts") {
        @Override
        boolean appliesTo(ConsideredWorker w) {
            return true;
        }
    };

    private final String sentence;

    WorkerVerdict(String sentence) {
        this.sentence = sentence;
    }

    /** Returns the explanation shown to people; it follows the name of the worker. */
    public String sentence() {
        return sentence;
    }

    abstract boolean appliesTo(ConsideredWorker w);

    static WorkerVerdict on(ConsideredWorker w) {
        for (WorkerVerdict v : values()) {
            if (v.appliesTo(w)) {
                return v;
            }
        }
        throw new IllegalStateException(
                "no verdict on worker " + w.state().view().id());
    }
}
