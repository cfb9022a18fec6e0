package io.pollenreach.bench.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * The work of a task over time, whose speed may change.
 *
 * <p>Not safe for use by many threads; the worker's lock guards it.
 */
final class Progress {
    private static final int FULL_SPEED = 100;

    private final List<Segment> segments = new ArrayList<>();

    /** Runs at a part of the full speed from now on. */
    void setSpeed(long nowMs, int percent) {
        segments.add(new Segment(nowMs, atMs(nowMs), percent));
    }

    /** Returns the work done until then, in milliseconds at full speed. */
    long atMs(long timeMs) {
        for (int i = segments.size() - 1; i >= 0; i--) {
            Segment s = segments.get(i);
            if (s.fromMs <= timeMs) {
                return s.doneMs + (timeMs - s.fromMs) * s.percent / FULL_SPEED;
            }
        }
        return 0;
    }

    /** Returns the time that the rest of the work takes at the present speed; at least one millisecond. */
    long remainingMs(long nowMs, long workMs) {
        int percent = segments.get(segments.size() - 1).percent;
        long left = Math.max(0, workMs - atMs(nowMs));
        return percent == 0 ? Long.MAX_VALUE : Math.max(1, (left * FULL_SPEED + percent - 1) / percent);
    }

    private record Segment(long fromMs, long doneMs, int percent) {}
}
