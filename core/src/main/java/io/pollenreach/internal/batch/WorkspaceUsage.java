package io.pollenreach.internal.batch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * How much of each pool the workspaces used lately, by the priority of their jobs.
 *
 * <p>A use is the time for which the whole pool would have been needed, by its scarcest resource for the workspace, and
 * decays exponentially. So a workspace that used nothing can catch up by its share of {@link #HORIZON_MS} at most. The first call
 * counts the runs that are placed as if they had been for long, so a new leader orders like the one before. Not
 * thread-safe: confined to the scheduler's thread.
 */
final class WorkspaceUsage {
    /** The time over which a use is remembered, in milliseconds. */
    static final double HORIZON_MS = 4_000;

    /** Shortest time between two measurements, in milliseconds; bounds their cost. */
    private static final long INTERVAL_MS = 200;

    /** Use below which a workspace is forgotten, in milliseconds. */
    private static final double MIN_USE_MS = 1;

    /** Jobs whose use is counted together. Immutable. */
    record Lane(String workspace, String pool, int priority) {
        static Lane of(BatchJob job) {
            return new Lane(job.workspace(), job.pool(), job.priority());
        }
    }

    private final Map<Lane, Double> usedMs = new HashMap<>();
    private boolean measured;
    private long measuredMs;

    /** Takes the runs that are placed now into account. */
    void measure(
            Collection<WorkerAllocations> workers, Map<String, JobProgress> jobs, PoolCapacity capacity, long nowMs) {
        if (measured && nowMs - measuredMs < INTERVAL_MS) {
            return;
        }
        double kept = measured ? Math.exp((measuredMs - nowMs) / HORIZON_MS) : 0;
        measured = true;
        measuredMs = nowMs;
        usedMs.replaceAll((lane, used) -> used * kept);
        heldByLane(workers, jobs).forEach((lane, held) -> {
            double fraction = capacity.fraction(lane.pool(), held);
            usedMs.merge(lane, fraction * HORIZON_MS * (1 - kept), Double::sum);
        });
        usedMs.values().removeIf(used -> used < MIN_USE_MS);
    }

    private static Map<Lane, Resources> heldByLane(
            Collection<WorkerAllocations> workers, Map<String, JobProgress> jobs) {
        Map<String, Lane> laneByJob = new HashMap<>();
        Map<Lane, Resources> held = new HashMap<>();
        for (WorkerAllocations w : workers) {
            for (TaskRun run : w.runs()) {
                JobProgress job = jobs.get(run.task().job());
                if (job != null) {
                    Lane lane = laneByJob.computeIfAbsent(run.task().job(), id -> Lane.of(job.job()));
                    held.merge(lane, job.spec(run.task()).occupied(), Resources::plus);
                }
            }
        }
        return held;
    }

    /** Returns the recent use, in milliseconds of the whole pool. */
    double usedMs(Lane lane) {
        return usedMs.getOrDefault(lane, 0.0);
    }

    /** Returns the lanes that used something lately. */
    Collection<Lane> lanes() {
        return usedMs.keySet();
    }
}
