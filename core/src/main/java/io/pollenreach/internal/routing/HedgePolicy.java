package io.pollenreach.internal.routing;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Decides when a second copy of an idempotent request is sent to another runner.
 *
 * <p>A copy is due when the first has taken longer than nearly all recent requests of its kind. Whether it is sent then
 * is up to the {@link RetryBudget}. Immutable, so safe for use by many threads.
 */
public final class HedgePolicy {
    private static final double QUANTILE = 0.95;
    private static final double FACTOR = 1.5;
    private static final int MIN_SAMPLES = 20;
    private static final long MIN_DELAY_MS = 10;

    private final double quantile;
    private final double factor;

    /** Creates the policy with the defaults. */
    public HedgePolicy() {
        this(QUANTILE, FACTOR);
    }

    /**
     * Creates a policy.
     *
     * @param quantile of recent service times, between 0 and 1
     * @param factor how many times that quantile is waited
     */
    public HedgePolicy(double quantile, double factor) {
        this.quantile = quantile;
        this.factor = factor;
    }

    /**
     * Returns how long to wait for the first copy, in milliseconds.
     *
     * @param idempotent whether the request may run twice
     * @param remainingMs how long the caller still waits, in milliseconds
     * @return empty when no second copy may or need be sent
     */
    public OptionalLong delayMs(
            ServiceTimeEstimator lengths, String workspace, String path, boolean idempotent, long remainingMs) {
        if (!idempotent) {
            return OptionalLong.empty();
        }
        OptionalDouble usual = lengths.quantileMs(workspace, path, quantile, MIN_SAMPLES);
        if (usual.isEmpty()) {
            return OptionalLong.empty();
        }
        long delay = Math.max(MIN_DELAY_MS, Math.round(factor * usual.getAsDouble()));
        return delay >= remainingMs ? OptionalLong.empty() : OptionalLong.of(delay);
    }
}
