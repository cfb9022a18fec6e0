package io.pollenreach.internal.batch;

/**
 * Throttles the fillers of one worker so that the serving tasks on it keep their latency targets.
 *
 * <p>Speed decreases multiplicatively and increases additively, so that a missed target is met again within three
 * changes, however much load the fillers cause. Not thread-safe: confined to the agent's thread.
 */
public final class FillerThrottle {
    /** The speed of an unthrottled filler, as a percentage. */
    public static final int FULL_PERCENT = 100;

    /** Ratios of latency to target from which the speed is cut to a quarter, and from which it is lowered. */
    private static final double CUT_RATIO = 1.0;

    private static final double LOWER_RATIO = 0.85;

    /** Ratio of latency to target below which the speed may be raised. */
    private static final double RAISE_RATIO = 0.6;

    private static final int CUT_DIVISOR = 4;
    private static final double LOWER_FACTOR = 0.75;
    private static final int RAISE_PERCENT = 10;

    /**
     * Time until a change shows in the measured latency, in milliseconds: 100 ms until it takes effect, and 500 ms
     * covered by one measurement.
     */
    private static final long SETTLE_MS = 650;

    /** How long the ratio must stay low before the speed is raised, in milliseconds. */
    private static final long LOW_RATIO_MS = 1_500;

    private int percent = FULL_PERCENT;
    private long changedMs;
    private long lowSinceMs;

    /** Creates a throttle that lets fillers run at full speed. */
    public FillerThrottle(long nowMs) {
        changedMs = nowMs;
        lowSinceMs = nowMs;
    }

    /** Returns the allowed speed as a percentage. */
    public int percent() {
        return percent;
    }

    /**
     * Adjusts the speed to the highest ratio of latency to target among the worker's serving tasks; 0 if it has none.
     */
    public void update(double latencyOverTarget, long nowMs) {
        if (latencyOverTarget >= RAISE_RATIO) {
            lowSinceMs = nowMs;
        }
        if (nowMs - changedMs < SETTLE_MS) {
            return;
        }
        if (latencyOverTarget >= CUT_RATIO) {
            change(percent / CUT_DIVISOR, nowMs);
        } else if (latencyOverTarget >= LOWER_RATIO) {
            change((int) (percent * LOWER_FACTOR), nowMs);
        } else if (percent < FULL_PERCENT && nowMs - lowSinceMs >= LOW_RATIO_MS) {
            change(Math.min(FULL_PERCENT, percent + RAISE_PERCENT), nowMs);
        }
    }

    private void change(int next, long nowMs) {
        percent = next;
        changedMs = nowMs;
    }
}
