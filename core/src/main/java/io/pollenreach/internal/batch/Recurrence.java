package io.pollenreach.internal.batch;

import com.google.common.math.LongMath;

/**
 * The schedule of a recurring job.
 *
 * <p>Submitters choose any numbers; times before 1970 count as 1970, and those after {@link #LATEST_MS} as that. Immutable.
 *
 * @param times how many times the steps run
 * @param firstDueMs when the first occurrence is due, in milliseconds since the Unix epoch
 * @param intervalMs time between two due times, in milliseconds
 */
public record Recurrence(int times, long firstDueMs, long intervalMs) {
    /** The latest time that is told apart, in milliseconds since the Unix epoch: so late that nothing is ever due then. */
    static final long LATEST_MS = Long.MAX_VALUE / 4;

    /** Returns when an occurrence, counted from 0, is due, in milliseconds since the Unix epoch. */
    public long dueMs(int occurrence) {
        long sinceFirstMs = LongMath.saturatedMultiply(occurrence, intervalMs);
        return Math.max(0, Math.min(LATEST_MS, LongMath.saturatedAdd(firstDueMs, sinceFirstMs)));
    }
}
