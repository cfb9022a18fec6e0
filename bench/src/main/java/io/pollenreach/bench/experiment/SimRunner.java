package io.pollenreach.bench.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A runner with its agent: slots, and a queue of waiting attempts in order of arrival.
 *
 * <p>Invariants: never more attempts in service than slots, nor more attempts than connections. Not safe for use by
 * many threads.
 */
final class SimRunner {
    private static final double SMOOTHING = 0.1;

    final String id;
    final String zone;
    private final EventLoop loop;
    private final Workload load;
    private final double factor;
    private final Draws hiccups;
    private final Deque<Attempt> queue = new ArrayDeque<>();
    private final List<Attempt> serving = new ArrayList<>();
    private double meanServiceMs;
    private boolean alive = true;

    SimRunner(int index, Workload load, EventLoop loop, long seed) {
        this.id = "runner-" + index;
        this.zone = load.zones().get(index % load.zones().size());
        this.loop = loop;
        this.load = load;
        this.factor = index < load.runners().slow() ? load.runners().slowFactor() : 1;
        this.hiccups = new Draws(seed, id);
    }

    boolean alive() {
        return alive;
    }

    int inUse() {
        return serving.size();
    }

    int queued() {
        return queue.size();
    }

    double meanServiceMs() {
        return meanServiceMs;
    }

    long longInService() {
        return serving.stream().filter(a -> !a.request.kind.shortWork()).count();
    }

    /** Takes an attempt in; returns false when all connections are in use. */
    boolean accept(Attempt a) {
        if (serving.size() + queue.size() >= load.runners().connections()) {
            return false;
        }
        queue.add(a);
        startNext();
        return true;
    }

    private void startNext() {
        while (alive && serving.size() < load.runners().slots() && !queue.isEmpty()) {
            Attempt a = queue.poll();
            serving.add(a);
            a.startedMs = loop.now();
            boolean hiccup = hiccups.uniform() < load.requests().hiccupRatio();
            double ms = a.request.lengthMs * factor * (hiccup ? load.requests().hiccupFactor() : 1);
            loop.after(ms, () -> finish(a, ms));
        }
    }

    private void finish(Attempt a, double ms) {
        if (!alive) {
            return;
        }
        serving.remove(a);
        meanServiceMs = meanServiceMs == 0 ? ms : meanServiceMs + SMOOTHING * (ms - meanServiceMs);
        a.entry.answered(a);
        startNext();
    }

    /** Fails at once; returns the attempts that were lost with it. */
    List<Attempt> die() {
        alive = false;
        List<Attempt> lost = new ArrayList<>(serving);
        lost.addAll(queue);
        serving.clear();
        queue.clear();
        return lost;
    }
}
