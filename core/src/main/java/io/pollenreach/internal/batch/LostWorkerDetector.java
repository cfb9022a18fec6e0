package io.pollenreach.internal.batch;

import java.util.List;
import java.util.function.LongPredicate;

/**
 * Finds lost workers: those on which no run can still be active.
 *
 * <p>Invariant: a worker is lost only when every lease that its agent can have granted has expired. That its agent is
 * silent, or that another party's list of machines lacks the worker, proves nothing before: the worker goes on with its
 * runs until its lease ends. Not thread-safe: confined to the scheduler's thread.
 */
public final class LostWorkerDetector {
    /** Factor by which a worker's clock may run slow, as stated by the platform. */
    private static final double CLOCK_DRIFT = 1.02;

    /**
     * Added to the lease before an unresponsive worker counts as lost, in milliseconds, because timers may fire late.
     */
    private static final long LOST_MARGIN_MS = 200;

    /**
     * Grace period in which workers may report again after an outage of the store, in milliseconds; required by
     * users.
     */
    private static final long REPORT_GRACE_PERIOD_MS = 2_000;

    private final WorkerTable workers;
    private final long leaseMs;

    /**
     * Creates a detector.
     *
     * @param leaseMs the longest lease by the settings of this process, in milliseconds; a lease begins before the report
     *     that it follows is stored
     */
    public LostWorkerDetector(WorkerTable workers, long leaseMs) {
        this.workers = workers;
        this.leaseMs = leaseMs;
    }

    /** Returns how long after a report every lease of a length that followed it has expired, in milliseconds. */
    static long expiredAfterMs(long leaseMs) {
        return Math.round(leaseMs * CLOCK_DRIFT) + LOST_MARGIN_MS;
    }

    /**
     * Returns the last reports of the workers that are lost.
     *
     * <p>A worker may have reported since, so it is marked as lost under the version of the report that is known.
     *
     * @param storeAvailableFor tells whether the store has responded without a break for a time, in milliseconds
     */
    public List<WorkerReport> find(LongPredicate storeAvailableFor, long nowMs) {
        if (!storeAvailableFor.test(REPORT_GRACE_PERIOD_MS)) {
            return List.of();
        }
        long longestMs = workers.longestLeaseMs(leaseMs);
        return workers.unresponsive(w -> expiredAfterMs(leaseOf(w, longestMs)), nowMs);
    }

    /** An agent that does not tell its lease may have been started with any that others tell. */
    private long leaseOf(WorkerReport report, long longestMs) {
        return report.leaseMs() > 0 ? Math.max(leaseMs, report.leaseMs()) : longestMs;
    }
}
