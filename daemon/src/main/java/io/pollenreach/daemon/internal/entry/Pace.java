package io.pollenreach.daemon.internal.entry;

/**
 * Keeps a repeated piece of work within a share of one core.
 *
 * <p>Invariant: after work that took t the next is due no sooner than t times the ratio later, and no later than the
 * longest pause. Not safe for use by many threads.
 */
final class Pace {
    private final long ratio;
    private final long maxPauseMs;
    private long nextMs = Long.MIN_VALUE;

    /** Creates a pace that allows work for one part of time in {@code ratio + 1}. */
    Pace(long ratio, long maxPauseMs) {
        this.ratio = ratio;
        this.maxPauseMs = maxPauseMs;
    }

    boolean due(long nowMs) {
        return nowMs >= nextMs;
    }

    /** Notes work that was done. */
    void worked(long startMs, long endMs) {
        nextMs = endMs + Math.min(maxPauseMs, (endMs - startMs) * ratio);
    }
}
