package io.pollenreach.bench.experiment;

/** What fails during a trial. Immutable. */
enum Scenario {
    /** Nothing but the losses of the network, and one slow runner. */
    WHOLE(0, 0),
    /** Three runners or workers in ten fail when the first crest starts, a whole rack of workers among them. */
    LOST(0.3, 0),
    /** One worker fails everything that it starts. */
    FAILING(0, 1);

    private final double lostShare;
    private final int failingWorkers;

    Scenario(double lostShare, int failingWorkers) {
        this.lostShare = lostShare;
        this.failingWorkers = failingWorkers;
    }

    /** Returns the share of runners or workers that fail when the first crest starts. */
    double lostShare() {
        return lostShare;
    }

    /** Returns how many workers fail everything that they start. */
    int failingWorkers() {
        return failingWorkers;
    }
}
