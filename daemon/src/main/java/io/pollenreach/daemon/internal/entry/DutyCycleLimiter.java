package io.pollenreach.daemon.internal.entry;

/**
 * Limits repeated work to a fraction of one core by enforcing a pause after each piece of work.
 *
 * <p>Invariant: after work that took time t, the next work is due after a pause of t times the ratio, or of
 * {@code maxPauseMs} if that is shorter. Not safe for use by many threads.
 */
final class DutyCycleLimiter {
    private final long ratio;
    private final long maxPauseMs;
    private long nextDueMs = Long.MIN_VALUE;

    /** Creates a limiter that allows work during 1 / ({@code ratio} + 1) of the time. */
    DutyCycleLimiter(long ratio, long maxPauseMs) {
        this.ratio = ratio;
        this.maxPauseMs = maxPauseMs;
    }

    boolean isDue(long nowMs) {
        return nowMs >= nextDueMs;
    }

    /** Records the start and end of a piece of work, from which the next due time follows. */
    void recordWork(long startMs, long endMs) {
        nextDueMs = endMs + Math.min(maxPauseMs, (endMs - startMs) * ratio);
    }
}
