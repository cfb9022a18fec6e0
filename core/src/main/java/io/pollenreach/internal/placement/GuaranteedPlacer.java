package io.pollenreach.internal.placement;

import java.util.List;
import java.util.Map;

/**
 * Places jobs so that guarantees are kept, free capacity is shared fairly and adjacent accelerators stay available for
 * large gangs.
 *
 * <p>Jobs within an unused guaranteed shape of their workspace go first and may stop borrowers. All others borrow free
 * capacity up to the workspace's limit. {@link io.pollenreach.Urgency#BATCH} work always borrows. A guaranteed shape
 * covers as many jobs as fit into it together. A job whose shape no set of known workers could hold is refused with
 * {@link io.pollenreach.ResultCode#NEVER_RUNNABLE}; since some workers may be unknown for a while, the caller decides
 * how long to keep such a job waiting before it acts on the refusal.
 *
 * <p>Immutable, so safe for use by many threads.
 *
 * <pre>{@code
 * Placer placer = GuaranteedPlacer.builder().reserveAfterMs(60_000).build();
 * List<Decision> decisions = placer.decide(view, queue, seed);
 * }</pre>
 */
public final class GuaranteedPlacer implements Placer {
    private final PlacementOptions options;

    private GuaranteedPlacer(PlacementOptions options) {
        this.options = options;
    }

    /** Returns a builder with the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public List<Decision> decide(ClusterView view, List<WaitingJob> queue, long seed) {
        return new PlacementRound(view, options, seed, JobTurn.none()).decide(queue);
    }

    /**
     * Tells what {@link #decide} would decide about one job, and why, without any effect.
     *
     * @param view the cluster
     * @param queue the waiting jobs in any order, the one in question among them
     * @param job the key of the job in question
     * @param closed why workers of the view take no new parts, by their ids; one that is absent takes parts
     * @param seed breaks ties between equally good workers
     */
    public PlacementPreview preview(
            ClusterView view, List<WaitingJob> queue, String job, Map<String, WorkerVerdict> closed, long seed) {
        JobTurn turn = JobTurn.of(job);
        List<Decision> decisions = new PlacementRound(view, options, seed, turn).decide(queue);
        return turn.explain(decisions, closed);
    }

    /** Collects the options of a placer. Not safe for use by many threads. */
    public static final class Builder {
        private static final int SET_ASIDE_FAILURES = 3;
        private static final long MOVE_AFTER_MS = 5_000;

        private boolean divisible = true;
        private boolean spareGangs = true;
        private boolean bestFit = true;
        private boolean fairShare = true;
        private boolean leastLostWork = true;
        private int excludeAfterFailures = SET_ASIDE_FAILURES;
        private long reserveAfterMs;
        private long moveAfterMs = MOVE_AFTER_MS;

        private Builder() {}

        /** Sets whether a guaranteed shape covers as many jobs as fit into it, else one at a time. */
        public Builder divisible(boolean divisible) {
            this.divisible = divisible;
            return this;
        }

        /**
         * Sets whether a job of one part borrows free capacity instead of using one part of a guarantee meant for a
         * gang.
         */
        public Builder spareGangs(boolean spareGangs) {
            this.spareGangs = spareGangs;
            return this;
        }

        /** Sets whether placements are chosen so that complete workers and racks stay free. */
        public Builder bestFit(boolean bestFit) {
            this.bestFit = bestFit;
            return this;
        }

        /** Sets whether the workspace that uses least of its share goes first. */
        public Builder fairShare(boolean fairShare) {
            this.fairShare = fairShare;
            return this;
        }

        /** Sets whether the borrowers that lose least work are stopped first. */
        public Builder leastLostWork(boolean leastLostWork) {
            this.leastLostWork = leastLostWork;
            return this;
        }

        /** Sets the number of recent failures from which a worker gets no new parts; 0 for no limit. */
        public Builder excludeAfterFailures(int failures) {
            this.excludeAfterFailures = failures;
            return this;
        }

        /** Sets how long a job waits before workers are reserved for it, in milliseconds; 0, the default, for never. */
        public Builder reserveAfterMs(long ms) {
            this.reserveAfterMs = ms;
            return this;
        }

        /** Sets how long a gang waits before borrowers are stopped and restarted elsewhere to make space for it, in
         * milliseconds; 0 for never. */
        public Builder moveAfterMs(long ms) {
            this.moveAfterMs = ms;
            return this;
        }

        /** Creates the placer. */
        public GuaranteedPlacer build() {
            return new GuaranteedPlacer(new PlacementOptions(
                    divisible,
                    spareGangs,
                    bestFit,
                    fairShare,
                    leastLostWork,
                    excludeAfterFailures,
                    reserveAfterMs,
                    moveAfterMs));
        }
    }
}
