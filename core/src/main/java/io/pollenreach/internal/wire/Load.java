package io.pollenreach.internal.wire;

/**
 * How busy a target is.
 *
 * <p>Immutable.
 *
 * @param inUse accelerators held, or requests in a runner's slots
 * @param queued requests that wait at the agent for a slot
 * @param meanServiceMs smoothed service time of recent requests, in milliseconds
 * @param recentFailures failed starts or requests in the last minute
 */
public record Load(int inUse, int queued, double meanServiceMs, int recentFailures) {
    public static final Load NONE = new Load(0, 0, 0, 0);
}
