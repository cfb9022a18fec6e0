package io.pollenreach.bench.standin;

import io.pollenreach.Clock;

/**
 * Limits a rate; up to one second's worth may come at once.
 *
 * <p>A cost larger than the bucket is let through when the bucket is full and paid back afterwards. Safe for use by
 * many threads.
 */
final class TokenBucket {
    private static final double MS_PER_S = 1000;

    private final Clock clock;
    private final int perSecond;
    private double tokens;
    private long filledMs;

    TokenBucket(Clock clock, int perSecond) {
        this.clock = clock;
        this.perSecond = perSecond;
        tokens = perSecond;
        filledMs = clock.nowMs();
    }

    synchronized boolean take(int cost) {
        long nowMs = clock.nowMs();
        tokens = Math.min(perSecond, tokens + (nowMs - filledMs) * perSecond / MS_PER_S);
        filledMs = nowMs;
        if (tokens < Math.min(cost, perSecond)) {
            return false;
        }
        tokens -= cost;
        return true;
    }
}
