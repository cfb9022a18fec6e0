package io.pollenreach.internal.batch;

/**
 * Sets how fast the fillers of one worker may work, so that the serving tasks beside them keep their latency targets.
 *
 * <p>Falls in proportion and rises by steps, so that a target is kept again within three changes, however much the fillers
 * disturb. Not safe for use by many threads: the agent's thread owns it.
 */
public final class FillerThrottle {
    /** The pace of a filler that nothing slows, as a percentage. */
    public static final int FULL_PERCENT = 100;

    /** Latency over target from which the pace is cut hard, and from which it is lowered. */
    private static final double OVER = 1.0;

    private static final double NEAR = 0.85;

    /** Latency over target below which the pace may rise. */
    private static final double FAR = 0.6;

    private static final int CUT_DIVISOR = 4;
    private static final double LOWERED = 0.75;
    private static final int RISE = 10;

    /** A change shows after this long, in milliseconds: 100 until it works, and half a second that a figure covers. */
    private static final long SETTLE_MS = 650;

    /** Calm that is needed before a rise, in milliseconds. */
    private static final long CALM_MS = 1_500;

    private int percent = FULL_PERCENT;
    private long changedMs;
    private long calmSinceMs;

    /** Creates a throttle that lets fillers run at full speed. */
    public FillerThrottle(long nowMs) {
        changedMs = nowMs;
        calmSinceMs = nowMs;
    }

    /** Returns the pace as a percentage. */
    public int percent() {
        return percent;
    }

    /** Takes the worst latency of a serving task on the worker, over its target; 0 when none serves. */
    public void update(double latencyOverTarget, long nowMs) {
        if (latencyOverTarget >= FAR) {
            calmSinceMs = nowMs;
        }
        if (nowMs - changedMs < SETTLE_MS) {
            return;
        }
        if (latencyOverTarget >= OVER) {
            change(percent / CUT_DIVISOR, nowMs);
        } else if (latencyOverTarget >= NEAR) {
            change((int) (percent * LOWERED), nowMs);
        } else if (percent < FULL_PERCENT && nowMs - calmSinceMs >= CALM_MS) {
            change(Math.min(FULL_PERCENT, percent + RISE), nowMs);
        }
    }

    private void change(int next, long nowMs) {
        percent = next;
        changedMs = nowMs;
    }
}
