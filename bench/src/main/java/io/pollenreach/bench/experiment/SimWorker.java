package io.pollenreach.bench.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import io.pollenreach.internal.placement.Holding;
import io.pollenreach.internal.placement.WorkerView;
import io.pollenreach.internal.wire.Part;

/**
 * A worker with its accelerators.
 *
 * <p>Invariant: the jobs that it holds never need more accelerators than it has; {@link #hold} fails otherwise. Not
 * safe for use by many threads.
 */
final class SimWorker {
    private static final double FAILURE_WINDOW_MS = 60_000;

    final String id;
    final String zone;
    final String rack;
    final boolean failing;
    private final int accelerators;
    private final double checkpointEveryMs;
    private final List<Held> held = new ArrayList<>();
    private final Deque<Double> failures = new ArrayDeque<>();
    private boolean alive = true;
    private boolean usable = true;

    SimWorker(int index, Workload w, boolean failing) {
        int rackNumber = index / w.workers().perRack();
        this.id = "worker-" + index;
        this.rack = "rack-" + rackNumber;
        this.zone = w.zones().get(rackNumber % w.zones().size());
        this.failing = failing;
        this.accelerators = w.workers().accelerators();
        this.checkpointEveryMs = w.jobs().checkpointEveryMs();
    }

    boolean alive() {
        return alive;
    }

    void die() {
        alive = false;
    }

    void lost() {
        usable = false;
    }

    void hold(Job job, Part part) {
        held.add(new Held(job, part));
        int used = held.stream().mapToInt(h -> h.part.accelerators()).sum();
        if (used > accelerators) {
            throw new IllegalStateException(id + " holds " + used + " of " + accelerators);
        }
    }

    void drop(Job job) {
        held.removeIf(h -> h.job == job);
    }

    void fail(double nowMs) {
        failures.add(nowMs);
    }

    WorkerView view(double nowMs) {
        while (!failures.isEmpty() && failures.peek() < nowMs - FAILURE_WINDOW_MS) {
            failures.poll();
        }
        List<Holding> holdings = new ArrayList<>();
        for (Held h : held) {
            long unsaved = (long) (h.job.runMs(nowMs) % checkpointEveryMs);
            holdings.add(new Holding(
                    h.job.attemptId(),
                    h.job.spec.workspace(),
                    h.part.accelerators(),
                    h.job.borrowed,
                    h.job.spec.restartable(),
                    unsaved));
        }
        return new WorkerView(id, zone, rack, "", accelerators, usable, failures.size(), holdings);
    }

    private record Held(Job job, Part part) {}
}
