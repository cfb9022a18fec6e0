package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The availability zones under evacuation, as the leading scheduler knows them.
 *
 * <p>Invariants: a worker of an evacuated zone is given no task, and a run whose order is not known to be stored when the
 * evacuation becomes known is withdrawn, with its gang. Every other run is left to its agent, which alone knows whether it
 * is at work and so goes on, or is refused. Not thread-safe: confined to the scheduler's thread.
 */
final class Evacuations {
    private final SchedulerState state;
    private final DecisionLog log;
    /** The store's version of each zone's row. */
    private Map<String, Long> versionByZone = Map.of();

    Evacuations(SchedulerState state, DecisionLog log) {
        this.state = state;
        this.log = log;
    }

    /** Tells whether a worker's availability zone is under evacuation. */
    boolean covers(WorkerAllocations w) {
        return contains(w.report().zone());
    }

    /** Tells whether an availability zone is under evacuation. */
    boolean contains(String zone) {
        return versionByZone.containsKey(zone);
    }

    /**
     * Replaces the zones under evacuation.
     *
     * @param next the store's version of each zone's row; another version than before is an evacuation of its own
     * @return whether anything changed
     */
    boolean replace(Map<String, Long> next, long nowMs) {
        if (next.equals(versionByZone)) {
            return false;
        }
        Map<String, Long> before = versionByZone;
        versionByZone = Map.copyOf(next);
        before.forEach((zone, version) -> {
            if (!versionByZone.containsKey(zone)) {
                log.logDecision("evacuation-ended", "zone", zone, "version", version);
            }
        });
        versionByZone.forEach((zone, version) -> {
            if (!version.equals(before.get(zone))) {
                begin(zone, version, nowMs);
            }
        });
        return true;
    }

    private void begin(String zone, long version, long nowMs) {
        List<WorkerAllocations> workers = state.workers().all().stream()
                .filter(w -> w.report().zone().equals(zone))
                .toList();
        int withdrawn = 0;
        for (WorkerAllocations w : workers) {
            for (TaskProgress t : w.ordersKnown() ? uncommittedOn(w) : List.<TaskProgress>of()) {
                // Another of its gang may have been withdrawn before.
                if (t.isPlacedAs(w.name(), t.run()) && !hasBegun(t)) {
                    withdraw(t, zone, nowMs);
                    withdrawn++;
                }
            }
        }
        log.logDecision(
                "evacuation-began",
                "zone",
                zone,
                "version",
                version,
                "workers",
                workers.size(),
                "withdrawn",
                withdrawn,
                "left",
                workers.stream().mapToInt(w -> w.runs().size()).sum());
    }

    private List<TaskProgress> uncommittedOn(WorkerAllocations w) {
        List<TaskProgress> placed = new ArrayList<>();
        for (TaskRun run : w.uncommittedRuns()) {
            JobProgress job = state.jobs().get(run.task().job());
            if (job != null && !job.phase().ended()) {
                job.find(run.task())
                        .filter(t -> t.isPlacedAs(w.name(), run.run()))
                        .ifPresent(placed::add);
            }
        }
        return placed;
    }

    // Some of the transactions of changes that could not be stored as a whole may have been.
    private boolean hasBegun(TaskProgress t) {
        JobProgress job = state.jobs().get(t.id().job());
        return job.spec(t.id()).gang()
                ? job.step(t.id()).stream().anyMatch(TaskProgress::isConfirmed)
                : t.isConfirmed();
    }

    private void withdraw(TaskProgress t, String zone, long nowMs) {
        JobProgress job = state.jobs().get(t.id().job());
        log.logDecision("task-withdrawn", "task", t.id(), "run", t.run(), "worker", t.worker(), "zone", zone);
        state.stop(t, nowMs);
        state.requeueWithGang(job, t, nowMs);
        state.recordChange(job);
    }
}
