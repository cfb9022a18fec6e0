package io.pollenreach.internal.batch;

import java.util.HashMap;
import java.util.Map;

/**
 * The number of jobs of each queue that no worker has started, kept up to date as their phases change.
 *
 * <p>Invariants: a job counts from its acceptance until it is started or ends, whether or not its tasks are placed;
 * recurring jobs do not count. Not thread-safe: confined to the scheduler's thread.
 */
final class WaitingCounts {
    private final Map<String, Integer> byQueue = new HashMap<>();

    /** Counts a job if it waits, and follows its phase from now on. */
    void add(JobProgress job) {
        if (isWaiting(job, job.phase())) {
            byQueue.merge(job.job().queue(), 1, Integer::sum);
        }
        job.setPhaseListener(this::phaseChanged);
    }

    private void phaseChanged(JobProgress job, JobPhase before) {
        if (isWaiting(job, before) && !isWaiting(job, job.phase())) {
            byQueue.computeIfPresent(job.job().queue(), (queue, count) -> count == 1 ? null : count - 1);
        }
    }

    private static boolean isWaiting(JobProgress job, JobPhase phase) {
        return phase == JobPhase.QUEUED && job.job().recurrence() == null;
    }

    /** Returns the counts of the queues that have waiting jobs. */
    Map<String, Integer> byQueue() {
        return Map.copyOf(byQueue);
    }
}
