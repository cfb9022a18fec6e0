package io.pollenreach.internal.intake;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.pollenreach.internal.batch.BatchJob;

/**
 * The backlog that the leader published last, with the jobs that this entry admitted since.
 *
 * <p>Invariants: figures that are older than {@link PublishedCounts#MAX_AGE_MS} or impossible are not known; a job
 * counts at most once until the next publication. Thread-safe.
 */
public final class PublishedBacklog {
    /** Most jobs whose work is added between two publications. */
    private static final int MAX_ADMITTED = 4_096;

    /** A backlog and how old it is, in milliseconds. Immutable. */
    public record Known(BacklogSnapshot backlog, long ageMs) {}

    private final Set<String> admittedSince = new HashSet<>();
    private BacklogSnapshot newest;
    private long publishedMs;

    /** Takes a backlog that was published at a time by a monotonic clock; tells whether its figures are possible. */
    public synchronized boolean publish(BacklogSnapshot backlog, long nowMs) {
        boolean valid = backlog.isValid();
        newest = valid ? backlog : null;
        publishedMs = nowMs;
        // A job that the leader has not seen yet is left out until the next publication, so that none counts twice.
        admittedSince.clear();
        return valid;
    }

    /** Records that this entry admitted a job. */
    public synchronized void addAdmitted(BatchJob job) {
        if (newest != null && admittedSince.size() < MAX_ADMITTED && admittedSince.add(job.id())) {
            newest = newest.with(job);
        }
    }

    /** Returns the backlog with what was admitted since; empty if it is not known. */
    public synchronized Optional<Known> known(long nowMs) {
        long ageMs = nowMs - publishedMs;
        boolean recent = newest != null && ageMs <= PublishedCounts.MAX_AGE_MS;
        return recent ? Optional.of(new Known(newest, ageMs)) : Optional.empty();
    }
}
