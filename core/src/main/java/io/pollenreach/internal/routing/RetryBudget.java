package io.pollenreach.internal.routing;

/**
 * Limits retries and hedges to a fraction of the requests, so that they can't multiply an overload.
 *
 * <p>Invariant: over any span the retries taken are at most the fraction of the requests recorded plus the capacity.
 * Safe for use by many threads.
 */
public final class RetryBudget {
    private final double fraction;
    private final double capacity;
    private double tokens;

    /**
     * Creates a full budget.
     *
     * @param fraction tokens gained with each request, such as 0.1
     * @param capacity the most tokens that are saved up; also what a quiet entry may spend
     */
    public RetryBudget(double fraction, double capacity) {
        this.fraction = fraction;
        this.capacity = capacity;
        this.tokens = capacity;
    }

    /** Records a request that came in. */
    public synchronized void record() {
        tokens = Math.min(capacity, tokens + fraction);
    }

    /** Takes a token for one retry; returns whether there was one. */
    public synchronized boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Returns the tokens that are left. */
    public synchronized double tokens() {
        return tokens;
    }
}
