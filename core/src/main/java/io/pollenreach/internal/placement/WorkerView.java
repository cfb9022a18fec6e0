package io.pollenreach.internal.placement;

import java.util.List;

/**
 * The state of one worker that placement decisions use.
 *
 * <p>Immutable.
 *
 * @param id the target id
 * @param zone the availability zone
 * @param rack the rack within the zone
 * @param address where its agent listens, as {@code ip:port}
 * @param accelerators how many it has
 * @param usable whether it may take new parts: alive, not draining, not excluded for failures
 * @param recentFailures number of recent failed starts
 * @param holdings the accelerators in use, as held by parts of gangs
 */
public record WorkerView(
        String id,
        String zone,
        String rack,
        String address,
        int accelerators,
        boolean usable,
        int recentFailures,
        List<Holding> holdings) {
    public WorkerView {
        holdings = List.copyOf(holdings);
    }

    /** Returns the accelerators that nobody holds. */
    public int free() {
        return accelerators - holdings.stream().mapToInt(Holding::accelerators).sum();
    }
}
