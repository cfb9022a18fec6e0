package io.pollenreach.daemon.internal.agent;

import java.util.ArrayDeque;
import java.util.Deque;

import io.pollenreach.Clock;

/**
 * Counts the failures of the target in the last minute.
 *
 * <p>Invariant: stores the times of at most {@link #MAX_COUNTED} failures, so a higher count is reported as that. Safe
 * for use by many threads.
 */
final class FailureWindow {
    private static final long WINDOW_MS = 60_000;
    private static final int MAX_COUNTED = 1_000;

    private final Clock clock;
    private final Deque<Long> times = new ArrayDeque<>();

    FailureWindow(Clock clock) {
        this.clock = clock;
    }

    synchronized void add() {
        times.addLast(clock.nowMs());
        if (times.size() > MAX_COUNTED) {
            times.removeFirst();
        }
    }

    synchronized int count() {
        long oldestMs = clock.nowMs() - WINDOW_MS;
        while (!times.isEmpty() && times.peekFirst() < oldestMs) {
            times.removeFirst();
        }
        return times.size();
    }
}
