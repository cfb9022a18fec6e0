package io.pollenreach.internal.batch;

import java.util.Optional;

/**
 * The orders of the passes: begins them, and explains waiting jobs by the last one.
 *
 * <p>Invariant: a question changes no later order. Confined to the scheduler's thread.
 */
public final class UnitOrders {
    private final SchedulerState state;
    private final WorkspaceUsage usage = new WorkspaceUsage();
    private Optional<UnitOrder> last = Optional.empty();

    UnitOrders(SchedulerState state) {
        this.state = state;
    }

    /** Returns the order of the units of a pass that begins now. */
    UnitOrder begin(JobTiming.Context context) {
        usage.measure(state.workers().all(), state.jobs(), context.capacity(), context.nowMs());
        UnitOrder order = new UnitOrder(context, usage, state::guarantee);
        last = Optional.of(order);
        return order;
    }

    /** Tells why the waiting tasks of a job wait, as of the last pass; empty if the job is not known. */
    public Optional<JobOutlook> outlook(String job, long nowMs) {
        return last.flatMap(order -> new OutlookReader(state, order.lastUnits(), nowMs).read(job));
    }
}
