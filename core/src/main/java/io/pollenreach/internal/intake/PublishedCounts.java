package io.pollenreach.internal.intake;

import java.util.Map;
import java.util.OptionalInt;

/**
 * The numbers of waiting jobs that the leader published last, as long as they may be told to callers.
 *
 * <p>Invariants: a number that was never published, or too long ago, is not known, which is not the same as 0; a queue that
 * the newest counts do not name has no waiting jobs. Safe for use by many threads.
 */
public final class PublishedCounts {
    /** How old a count may be that a caller is told, in milliseconds; the platform's limit. */
    public static final long MAX_AGE_MS = 2_000;

    /** One publication. Immutable. */
    private record Counts(Map<String, Integer> byQueue, long publishedMs) {}

    private volatile Counts newest;

    /** Takes the counts of all queues that have waiting jobs, which were published at a time by a monotonic clock. */
    public void publish(Map<String, Integer> byQueue, long nowMs) {
        newest = new Counts(Map.copyOf(byQueue), nowMs);
    }

    /** Returns the number of waiting jobs of a queue; empty if it is not known. */
    public OptionalInt waiting(String queue, long nowMs) {
        Counts counts = newest;
        if (counts == null || nowMs - counts.publishedMs() > MAX_AGE_MS) {
            return OptionalInt.empty();
        }
        return OptionalInt.of(counts.byQueue().getOrDefault(queue, 0));
    }
}
