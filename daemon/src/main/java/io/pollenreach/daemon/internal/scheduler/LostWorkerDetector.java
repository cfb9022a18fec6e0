package io.pollenreach.daemon.internal.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;

import io.pollenreach.PollenreachException;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.internal.batch.LossReason;
import io.pollenreach.internal.batch.WorkerReport;
import io.pollenreach.internal.batch.WorkerTable;

/**
 * Finds lost workers: those on which no run can still be active.
 *
 * <p>Invariant: a worker is lost only when every lease that its agent can have granted has expired, or when the
 * registry no longer lists its process. Not thread-safe: confined to the scheduler's thread.
 */
final class LostWorkerDetector {
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

    /**
     * Time without a report after which the registry is queried about a worker with runs, in milliseconds: two missed
     * reports.
     */
    private static final long SUSPECT_TIMEOUT_MS = 1_700;

    /**
     * Shortest interval between two such queries, in milliseconds; the platform accepts a few dozen per second from
     * all callers.
     */
    private static final long REGISTRY_QUERY_INTERVAL_MS = 500;

    private static final Events EVENTS = Events.of(LostWorkerDetector.class);

    /** A lost worker's last report, and the reason why the worker counts as lost. Immutable. */
    record Loss(WorkerReport report, LossReason reason) {}

    /** Unresponsive workers, and the registry's pending response about them. Immutable. */
    private record RegistryQuery(List<WorkerReport> suspects, CompletableFuture<Set<String>> existing) {}

    private final WorkerTable workers;
    private final WorkerRegistry registry;
    private final long lostAfterMs;
    private long lastQueryMs;
    /** The query in flight; null for none. */
    private RegistryQuery pendingQuery;

    LostWorkerDetector(WorkerTable workers, WorkerRegistry registry, long leaseMs) {
        this.workers = workers;
        this.registry = registry;
        lostAfterMs = Math.round(leaseMs * CLOCK_DRIFT) + LOST_MARGIN_MS;
    }

    /**
     * Returns the workers that are lost.
     *
     * @param storeAvailableFor tells whether the store has responded without a break for a time, in milliseconds
     */
    List<Loss> find(LongPredicate storeAvailableFor, long nowMs) {
        List<Loss> found = new ArrayList<>();
        if (storeAvailableFor.test(REPORT_GRACE_PERIOD_MS)) {
            workers.unresponsiveFor(lostAfterMs, nowMs).forEach(r -> found.add(new Loss(r, LossReason.LEASE_EXPIRED)));
        }
        if (pendingQuery != null && pendingQuery.existing().isDone()) {
            findUnregistered(nowMs).stream()
                    .filter(u -> found.stream().noneMatch(f -> f.report().equals(u.report())))
                    .toList()
                    .forEach(found::add);
            pendingQuery = null;
        }
        if (pendingQuery == null
                && storeAvailableFor.test(SUSPECT_TIMEOUT_MS)
                && nowMs - lastQueryMs >= REGISTRY_QUERY_INTERVAL_MS) {
            queryRegistry(nowMs);
        }
        return found;
    }

    private void queryRegistry(long nowMs) {
        List<WorkerReport> suspects = workers.unresponsiveFor(SUSPECT_TIMEOUT_MS, nowMs).stream()
                .filter(r -> workers.holdsRuns(r.agent()))
                .toList();
        if (!suspects.isEmpty()) {
            lastQueryMs = nowMs;
            pendingQuery = new RegistryQuery(suspects, registry.existing());
        }
    }

    private List<Loss> findUnregistered(long nowMs) {
        Set<String> existing;
        try {
            existing = pendingQuery.existing().join();
        } catch (RuntimeException e) {
            PollenreachException failure = PollenreachException.of(e);
            EVENTS.warn("registry-silent", "code", failure.code().number(), "error", failure.getMessage());
            return List.of();
        }
        if (!workers.knowsAny(existing)) {
            EVENTS.warn(
                    "registry-distrusted",
                    "named",
                    existing.size(),
                    "suspects",
                    pendingQuery.suspects().size());
            return List.of();
        }
        // A worker may have reported again since the query was sent.
        List<WorkerReport> stillUnresponsive = workers.unresponsiveFor(SUSPECT_TIMEOUT_MS, nowMs);
        return pendingQuery.suspects().stream()
                .filter(s -> stillUnresponsive.contains(s) && !existing.contains(s.instance()))
                .map(s -> new Loss(s, LossReason.UNREGISTERED))
                .toList();
    }
}
