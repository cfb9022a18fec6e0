package io.pollenreach.internal.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import io.pollenreach.Clock;

/**
 * Waiting requests by workspace, served by shares and with short work ahead of long work.
 *
 * <p>Between workspaces the one with the earliest virtual finish goes next, so over time each gets service time in
 * proportion to its share and an idle workspace saves up nothing. Within a workspace a request goes by its arrival plus
 * a multiple of its expected length: short work passes long work, but not long work that has waited long enough.
 *
 * <p>Invariants: at most the given limit waits for each workspace; an item is held once at most. Not safe for use by
 * many threads: callers hold a lock around each call.
 *
 * @param <T> what waits; compared by equals
 */
public final class FairQueue<T> {
    /** How many milliseconds of waiting make up for one millisecond of expected length. */
    private static final double AGEING = 10;

    private static final double MIN_EXPECTED_MS = 1;

    private final Clock clock;
    private final double ageing;
    private final Map<String, Lane<T>> lanes = new HashMap<>();
    private final Map<T, Entry<T>> entries = new HashMap<>();
    private double virtualMs;
    private long sequence;

    /** Creates an empty queue. */
    public FairQueue(Clock clock) {
        this(clock, AGEING);
    }

    /**
     * Creates an empty queue.
     *
     * @param clock tells the time of arrival
     * @param ageing how many milliseconds of waiting make up for one millisecond of expected length; 0 for first come
     *     first served within a workspace
     */
    public FairQueue(Clock clock, double ageing) {
        this.clock = clock;
        this.ageing = ageing;
    }

    /**
     * Adds an item.
     *
     * @param workspace the workspace that it belongs to
     * @param share the workspace's weight, at least 1
     * @param maxWaiting how many items of the workspace may wait
     * @param expectedMs the expected service time in milliseconds
     * @param item what waits
     * @return false when the workspace is at its limit or the item waits already
     */
    public boolean offer(String workspace, int share, int maxWaiting, double expectedMs, T item) {
        Lane<T> lane = lanes.computeIfAbsent(workspace, Lane::new);
        if (lane.waiting.size() >= maxWaiting || entries.containsKey(item)) {
            return false;
        }
        double expected = Math.max(MIN_EXPECTED_MS, expectedMs);
        Entry<T> e = new Entry<>(item, lane, clock.nowMs() + ageing * expected, expected, sequence++);
        if (lane.waiting.isEmpty()) {
            lane.finishMs = Math.max(lane.finishMs, virtualMs);
        }
        lane.share = Math.max(1, share);
        lane.waiting.add(e);
        entries.put(item, e);
        return true;
    }

    /** Returns the item that is served next and leaves it; empty when none waits. */
    public Optional<T> peek() {
        Lane<T> lane = next();
        return lane == null ? Optional.empty() : Optional.of(lane.waiting.first().item);
    }

    /** Takes the item that is served next; empty when none waits. */
    public Optional<T> poll() {
        Lane<T> lane = next();
        if (lane == null) {
            return Optional.empty();
        }
        Entry<T> e = lane.waiting.pollFirst();
        virtualMs = Math.max(lane.finishMs, virtualMs);
        lane.finishMs += e.expectedMs / lane.share;
        entries.remove(e.item);
        return Optional.of(e.item);
    }

    /** Returns the workspace with the earliest virtual finish, or null if nothing waits. */
    private Lane<T> next() {
        Lane<T> best = null;
        double bestFinish = 0;
        for (Lane<T> lane : lanes.values()) {
            if (lane.waiting.isEmpty()) {
                continue;
            }
            double finish = lane.finishMs + lane.waiting.first().expectedMs / lane.share;
            if (best == null
                    || finish < bestFinish
                    || finish == bestFinish && lane.workspace.compareTo(best.workspace) < 0) {
                best = lane;
                bestFinish = finish;
            }
        }
        return best;
    }

    /** Takes an item out before its turn; returns whether it waited. */
    public boolean remove(T item) {
        Entry<T> e = entries.remove(item);
        return e != null && e.lane.waiting.remove(e);
    }

    /** Returns a copy with the same items; changes to one do not affect the other. */
    public FairQueue<T> copy() {
        FairQueue<T> copy = new FairQueue<>(clock, ageing);
        copy.virtualMs = virtualMs;
        copy.sequence = sequence;
        lanes.forEach((workspace, lane) -> {
            Lane<T> to = new Lane<>(workspace);
            to.share = lane.share;
            to.finishMs = lane.finishMs;
            for (Entry<T> e : lane.waiting) {
                Entry<T> same = new Entry<>(e.item, to, e.rankMs, e.expectedMs, e.sequence);
                to.waiting.add(same);
                copy.entries.put(e.item, same);
            }
            copy.lanes.put(workspace, to);
        });
        return copy;
    }

    /** Returns how many items wait. */
    public int size() {
        return entries.size();
    }

    /** Returns how many items of a workspace wait. */
    public int size(String workspace) {
        Lane<T> lane = lanes.get(workspace);
        return lane == null ? 0 : lane.waiting.size();
    }

    /** The waiting items of one workspace, and the virtual time until which it was served. */
    private static final class Lane<T> {
        private final String workspace;
        private final TreeSet<Entry<T>> waiting = new TreeSet<>(Entry.order());
        private int share = 1;
        private double finishMs;

        Lane(String workspace) {
            this.workspace = workspace;
        }
    }

    private record Entry<T>(T item, Lane<T> lane, double rankMs, double expectedMs, long sequence) {
        static <T> Comparator<Entry<T>> order() {
            return Comparator.comparingDouble((Entry<T> e) -> e.rankMs).thenComparingLong(e -> e.sequence);
        }
    }
}
