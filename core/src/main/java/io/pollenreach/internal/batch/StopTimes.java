package io.pollenreach.internal.batch;

import java.util.HashMap;
import java.util.Map;

/**
 * How long it takes until a stopped run has freed its worker and the scheduler knows, learned from the stops of each pool.
 *
 * <p>Platforms promise a bound between 0.2 and 0.9 s, and an urgent task that waits for a stop loses that time. Nothing is
 * stored: a new leader has learned it after some ten stops.
 *
 * <p>Invariant: an expected time lies within 0 and {@link Reclaim#MAX_EXPECTED_STOP_MS}. Not thread-safe: confined to the
 * scheduler's thread.
 */
final class StopTimes {
    /** What is expected before any stop was observed, in milliseconds. */
    static final long INITIAL_MS = 300;

    /** The weight of a new observation. */
    private static final double WEIGHT = 0.1;

    private final Map<String, Double> meanMsByPool = new HashMap<>();

    /** Takes in how long a stop took from its decision until its end was known, in milliseconds. */
    void observe(String pool, long tookMs) {
        double bounded = Math.max(0, Math.min(Reclaim.MAX_EXPECTED_STOP_MS, tookMs));
        meanMsByPool.merge(
                pool, INITIAL_MS + WEIGHT * (bounded - INITIAL_MS), (mean, x) -> mean + WEIGHT * (bounded - mean));
    }

    /** Returns the expected time of a stop, in milliseconds. */
    long expectedMs(String pool) {
        return Math.round(meanMsByPool.getOrDefault(pool, (double) INITIAL_MS));
    }
}
