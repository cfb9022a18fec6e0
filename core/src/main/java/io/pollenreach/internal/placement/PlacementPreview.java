package io.pollenreach.internal.placement;

import java.util.List;

/**
 * What a round would decide about one job, and why.
 *
 * <p>Immutable.
 *
 * @param decision the decision
 * @param startingAhead how many waiting jobs are placed before it in the same round
 * @param waitingAhead how many waiting jobs are left waiting before it in the same round
 * @param workers the workers of the snapshot, as they were when the round came to the job
 */
public record PlacementPreview(Decision decision, int startingAhead, int waitingAhead, List<Worker> workers) {
    public PlacementPreview {
        workers = List.copyOf(workers);
    }

    /** Returns the preview of a decision that no round makes, so that no worker is considered. */
    public static PlacementPreview withoutRound(Decision decision) {
        return new PlacementPreview(decision, 0, 0, List.of());
    }

    /**
     * A worker, and why it gets parts of the job or none. Immutable.
     *
     * @param id the target id
     * @param zone the availability zone
     * @param rack the rack within the zone
     * @param accelerators how many it has
     * @param free how many of them nobody holds
     * @param verdict why it was chosen or not
     */
    public record Worker(String id, String zone, String rack, int accelerators, int free, WorkerVerdict verdict) {}
}
