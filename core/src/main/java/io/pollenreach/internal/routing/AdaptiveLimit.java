package io.pollenreach.internal.routing;

/**
 * Limits the requests in flight to one runner by what its answers show.
 *
 * <p>The limit grows by one for each limit's worth of good answers while it is in use, and shrinks by a fraction when a
 * request fails for overload or takes several times its expected length. A shrink is taken once for each limit's worth
 * of answers, so that one burst of late answers does not empty it. Invariant: the limit stays between its bounds. Safe
 * for use by many threads.
 */
public final class AdaptiveLimit {
    private static final double SHRINK = 0.8;
    private static final double LATE_FACTOR = 4;

    private final int min;
    private final int max;
    private double limit;
    private int answersSinceShrink;

    /**
     * Creates a limit.
     *
     * @param min the lowest limit, at least 1
     * @param initial the limit before anything is known
     * @param max the highest limit
     */
    public AdaptiveLimit(int min, int initial, int max) {
        if (min < 1 || initial < min || max < initial) {
            throw new IllegalArgumentException("limits out of order: " + min + ", " + initial + ", " + max);
        }
        this.min = min;
        this.max = max;
        this.limit = initial;
        this.answersSinceShrink = initial;
    }

    /** Returns how many requests may be in flight. */
    public synchronized int limit() {
        return (int) limit;
    }

    /**
     * Learns from an answer.
     *
     * @param inFlight requests in flight when it came, itself included
     * @param tookMs how long the answer took, in milliseconds
     * @param expectedMs how long it was expected to take, in milliseconds
     * @param overloaded whether the runner refused it for lack of room or did not answer in time
     */
    public synchronized void record(int inFlight, double tookMs, double expectedMs, boolean overloaded) {
        answersSinceShrink++;
        boolean late = overloaded || tookMs > LATE_FACTOR * Math.max(1, expectedMs);
        if (!late && inFlight >= (int) limit) {
            limit = Math.min(max, limit + 1 / limit);
        }
        if (late && answersSinceShrink > limit) {
            limit = Math.max(min, limit * SHRINK);
            answersSinceShrink = 0;
        }
    }
}
