package io.pollenreach.internal.batch;

/**
 * The schedule of a recurring job.
 *
 * <p>Immutable.
 *
 * @param times how many times the steps run
 * @param firstDueMs when the first occurrence is due, in milliseconds since the Unix epoch
 * @param intervalMs time between two due times, in milliseconds
 */
public record Recurrence(int times, long firstDueMs, long intervalMs) {
    /** Returns when an occurrence, counted from 0, is due, in milliseconds since the Unix epoch. */
    public long dueMs(int occurrence) {
        return firstDueMs + occurrence * intervalMs;
    }
}
