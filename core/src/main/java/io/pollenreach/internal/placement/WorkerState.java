package io.pollenreach.internal.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import io.pollenreach.internal.wire.AttemptId;

/**
 * The free and held accelerators of one worker while a placement round allocates them.
 *
 * <p>Invariant: {@link #free()} plus everything held never exceeds the worker's accelerators. Confined to one round, so
 * not safe for use by many threads.
 */
final class WorkerState {
    private final WorkerView view;
    private final boolean usable;
    private final List<HoldingState> held = new ArrayList<>();
    private int free;
    private int nonReclaimable;
    private String reservedFor = "";

    WorkerState(WorkerView view, boolean usable) {
        this.view = view;
        this.usable = usable;
        this.free = Math.max(0, view.free());
        view.holdings().forEach(h -> held.add(new HoldingState(h)));
    }

    WorkerView view() {
        return view;
    }

    /** Tells whether a job may use this worker: it accepts new parts and is not reserved for another job. */
    boolean isUsableBy(String job) {
        return usable && !isReservedForOther(job);
    }

    /** Tells whether the worker accepts new parts. */
    boolean isUsable() {
        return usable;
    }

    boolean isReservedForOther(String job) {
        return !reservedFor.isEmpty() && !reservedFor.equals(job);
    }

    int free() {
        return free;
    }

    boolean isIdle() {
        return free == view.accelerators();
    }

    List<HoldingState> held() {
        return held;
    }

    /** Returns the accelerators that would be free if the victims had stopped. */
    int freeWithout(Set<AttemptId> victims) {
        int n = free;
        for (HoldingState h : held) {
            if (victims.contains(h.holding.id())) {
                n += h.unallocated;
            }
        }
        return n;
    }

    /** Returns the accelerators held by jobs that may not be stopped. */
    int nonReclaimable() {
        return nonReclaimable;
    }

    /** Adds to the accelerators held by jobs that may not be stopped. */
    void addNonReclaimable(int accelerators) {
        nonReclaimable += accelerators;
    }

    /** Reserves the worker for one job until the round ends. */
    void reserve(String job) {
        reservedFor = job;
    }

    /** Allocates accelerators: free ones first, then those that the victims release. */
    void allocate(int accelerators, Set<AttemptId> victims) {
        int fromFree = Math.min(free, accelerators);
        free -= fromFree;
        int rest = accelerators - fromFree;
        for (HoldingState h : held) {
            if (rest > 0 && victims.contains(h.holding.id())) {
                int n = Math.min(rest, h.unallocated);
                h.unallocated -= n;
                rest -= n;
            }
        }
        if (rest > 0) {
            throw new IllegalStateException(
                    "worker " + view.id() + " is short of " + rest + " accelerators for the placement");
        }
    }

    /** A holding and how many of its accelerators are not yet allocated to another job in this round. */
    static final class HoldingState {
        private final Holding holding;
        private int unallocated;

        HoldingState(Holding holding) {
            this.holding = holding;
            this.unallocated = holding.accelerators();
        }

        Holding holding() {
            return holding;
        }

        int unallocated() {
            return unallocated;
        }
    }
}
