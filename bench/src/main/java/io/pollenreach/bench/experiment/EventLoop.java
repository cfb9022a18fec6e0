package io.pollenreach.bench.experiment;

import java.util.PriorityQueue;

import io.pollenreach.Clock;

/**
 * Runs actions in the order of virtual time; actions of the same time run in the order in which they were added.
 *
 * <p>Not safe for use by many threads.
 */
final class EventLoop implements Clock {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private double now;
    private long sequence;

    /** Returns the virtual time in milliseconds with its fraction. */
    double now() {
        return now;
    }

    @Override
    public long nowMs() {
        return (long) now;
    }

    @Override
    public long wallMs() {
        return (long) now;
    }

    /** Runs an action after a delay in milliseconds. */
    void after(double delayMs, Runnable action) {
        events.add(new Event(now + Math.max(0, delayMs), sequence++, action));
    }

    /** Runs actions until none is left or the time has passed. */
    void runUntil(double endMs) {
        for (Event e = events.poll(); e != null && e.atMs <= endMs; e = events.poll()) {
            now = e.atMs;
            e.action.run();
        }
    }

    private record Event(double atMs, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
