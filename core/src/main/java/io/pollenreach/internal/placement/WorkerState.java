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
    private final boolean open;
    private final List<Held> held = new ArrayList<>();
    private int free;
    private int firm;
    private String reservedFor = "";

    WorkerState(WorkerView view, boolean open) {
        this.view = view;
        this.open = open;
        this.free = Math.max(0, view.free());
        view.holdings().forEach(h -> held.add(new Held(h)));
    }

    WorkerView view() {
        return view;
    }

    /** Tells whether a job may use this worker: it accepts new parts and is not reserved for another job. */
    boolean openTo(String job) {
        return open && (reservedFor.isEmpty() || reservedFor.equals(job));
    }

    int free() {
        return free;
    }

    boolean isIdle() {
        return free == view.accelerators();
    }

    List<Held> held() {
        return held;
    }

    /** Returns the accelerators that would be free if the victims had stopped. */
    int freeWithout(Set<AttemptId> victims) {
        int n = free;
        for (Held h : held) {
            if (victims.contains(h.holding.id())) {
                n += h.left;
            }
        }
        return n;
    }

    /** Returns the accelerators held by jobs that may not be stopped. */
    int firm() {
        return firm;
    }

    /** Adds to the accelerators held by jobs that may not be stopped. */
    void addFirm(int accelerators) {
        firm += accelerators;
    }

    /** Reserves the worker for one job until the round ends. */
    void reserve(String job) {
        reservedFor = job;
    }

    /** Allocates accelerators: free ones first, then those that the victims release. */
    void take(int accelerators, Set<AttemptId> victims) {
        int fromFree = Math.min(free, accelerators);
        free -= fromFree;
        int rest = accelerators - fromFree;
        for (Held h : held) {
            if (rest > 0 && victims.contains(h.holding.id())) {
                int n = Math.min(rest, h.left);
                h.left -= n;
                rest -= n;
            }
        }
        if (rest > 0) {
            throw new IllegalStateException(
                    "worker " + view.id() + " is short of " + rest + " accelerators for the placement");
        }
    }

    /** A holding and how many of its accelerators are not yet allocated to another job in this round. */
    static final class Held {
        private final Holding holding;
        private int left;

        Held(Holding holding) {
            this.holding = holding;
            this.left = holding.accelerators();
        }

        Holding holding() {
            return holding;
        }

        int left() {
            return left;
        }
    }
}
