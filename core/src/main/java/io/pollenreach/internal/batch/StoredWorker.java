package io.pollenreach.internal.batch;

import java.util.Optional;

/**
 * What the store has of one worker when a scheduler takes over.
 *
 * <p>Immutable.
 *
 * @param agent the name of the worker's agent
 * @param report the report; empty if its row cannot be read or does not exist
 * @param reportVersion the store's version of the report's row; 0 if it does not exist
 * @param writtenMs a time, by the scheduler's monotonic clock, by which the report's row had been written; that of the
 *     restore if it does not exist
 * @param orders the orders; empty if their row cannot be read or does not exist
 * @param ordersVersion the store's version of the orders' row; 0 if it does not exist
 */
public record StoredWorker(
        String agent,
        Optional<WorkerReport> report,
        long reportVersion,
        long writtenMs,
        Optional<WorkerOrders> orders,
        long ordersVersion) {
    /**
     * Tells whether it is known what the worker was ordered to run.
     *
     * <p>Without a row, nothing was ever ordered if the report can be read and lists no run. Orders do not matter any more
     * if the report shows that none of the runs before it can be active.
     */
    boolean ordersKnown() {
        boolean neverOrdered =
                ordersVersion == 0 && report.filter(r -> r.active().isEmpty()).isPresent();
        return orders.isPresent()
                || neverOrdered
                || report.filter(WorkerReport::hasNoRuns).isPresent();
    }

    /** Tells whether runs may occupy the worker of which no job's progress need tell. */
    boolean mayHoldUnknownRuns() {
        boolean unreadable = orders.isEmpty() && ordersVersion > 0;
        boolean ordered =
                orders.filter(o -> !o.runs().isEmpty() || !o.stops().isEmpty()).isPresent();
        return unreadable || ordered;
    }

    /** Returns the orders; none if they are not known. */
    WorkerOrders ordersOrNone() {
        return orders.orElseGet(
                () -> WorkerOrders.none(report.map(WorkerReport::incarnation).orElse("")));
    }
}
