package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Chooses the workers on which a unit of tasks may be placed during one placement pass.
 *
 * <p>Invariant: the workers that are suitable for a requirement are found once a pass. Not thread-safe.
 */
final class WorkerChoice {
    /** Shortest wait for a worker near the data, or for one rack, before tasks are spread, in milliseconds. */
    static final long MIN_LOCALITY_WAIT_MS = 1_500;

    /**
     * Longest wait for a worker near the data, or for one rack, in milliseconds; bounded because estimated run times
     * are often several times too long.
     */
    static final long MAX_LOCALITY_WAIT_MS = 4_000;

    /**
     * How long a task waits for another worker before it may use one on which it, or other tasks recently, failed, in
     * milliseconds.
     */
    static final long AVOID_MS = 2_000;

    /**
     * Longest wait for better workers of a unit inside its workspace's guarantee that fits elsewhere, in milliseconds; its
     * workspace may count on a start soon after the job's acceptance.
     */
    static final long MAX_GUARANTEED_WAIT_MS = 1_000;

    /** How many times as long a task takes away from its data, or a gang over several racks that should be on one. */
    private static final double DISTANCE_FACTOR = 3;

    /** What a worker must be to be suitable for a step. Immutable. */
    record Requirement(String pool, String label) {}

    /** What decides whether a unit could be near its data, or on one rack, if nothing else ran. Immutable. */
    private record Place(
            Requirement requirement, int tasks, Resources need, int maxPerWorker, String dataRack, boolean oneRack) {}

    private final Collection<WorkerAllocations> workers;
    private final Evacuations evacuations;
    private final RunTimes runTimes;
    private final long nowMs;
    private final Map<Requirement, List<WorkerAllocations>> suitableWorkers = new HashMap<>();
    private final Map<Place, Boolean> attainablePlaces = new HashMap<>();

    WorkerChoice(Collection<WorkerAllocations> workers, Evacuations evacuations, RunTimes runTimes, long nowMs) {
        this.workers = workers;
        this.evacuations = evacuations;
        this.runTimes = runTimes;
        this.nowMs = nowMs;
    }

    /** Returns what a worker must be to be suitable for a unit. */
    static Requirement requirementOf(Unit unit) {
        return new Requirement(unit.job().job().pool(), unit.spec().requiredLabel());
    }

    /** Returns the workers near a unit's data; all of them if it has none. */
    static Collection<WorkerAllocations> nearData(Unit unit, List<WorkerAllocations> eligible) {
        return unit.spec()
                .rackOfData()
                .<Collection<WorkerAllocations>>map(r -> eligible.stream()
                        .filter(w -> w.report().rack().equals(r))
                        .toList())
                .orElse(eligible);
    }

    /** Tells whether all tasks of a unit should be on one rack. */
    static boolean requiresOneRack(Unit unit) {
        return unit.spec().gang() && unit.spec().sameRack();
    }

    /** Tells whether a unit has waited long enough for its rack that it may be spread over others. */
    boolean mayUseAnyRack(Unit unit) {
        return waitedMs(unit) >= localityWaitMs(unit);
    }

    /** Tells whether a unit has waited long enough to use workers that it should avoid. */
    boolean mayUseAnyWorker(Unit unit) {
        return waitedMs(unit) > AVOID_MS;
    }

    /** Returns how long a unit has waited for its present run, in milliseconds. */
    long waitedMs(Unit unit) {
        return nowMs - unit.tasks().get(0).waitingSinceMs();
    }

    // Tasks that are spread over racks run several times as long, so a wait of about one run's duration pays off.
    private long localityWaitMs(Unit unit) {
        if (!needsLocality(unit) || unit.guaranteed() || !canBeNear(unit)) {
            return 0;
        }
        return Math.min(MAX_LOCALITY_WAIT_MS, Math.max(MIN_LOCALITY_WAIT_MS, Math.round(expectedMs(unit))));
    }

    /** Tells whether a unit takes longer away from its data or over several racks. */
    static boolean needsLocality(Unit unit) {
        return requiresOneRack(unit) || unit.spec().rackOfData().isPresent();
    }

    /** Tells whether a unit would fit near its data, or on one rack, if nothing else ran there. */
    private boolean canBeNear(Unit unit) {
        StepSpec spec = unit.spec();
        Place place = new Place(
                requirementOf(unit),
                unit.tasks().size(),
                spec.occupied(),
                spec.maxPerWorker(),
                spec.dataRack(),
                requiresOneRack(unit));
        return attainablePlaces.computeIfAbsent(place, x -> {
            Collection<WorkerAllocations> near = nearData(unit, suitable(unit));
            return new FreeCapacity(near, w -> w.report().capacity())
                    .fit(unit.tasks(), spec, near, requiresOneRack(unit))
                    .isPresent();
        });
    }

    /** Returns the additional work of a unit that is placed away from its data or over several racks, in core milliseconds. */
    double distanceCostCoreMs(Unit unit) {
        if (!needsLocality(unit)) {
            return 0;
        }
        return unit.tasks().size() * unit.spec().need().cores() * (DISTANCE_FACTOR - 1) * expectedMs(unit);
    }

    /** Returns how long a unit's tasks are expected to run at nominal speed, in milliseconds. */
    double expectedMs(Unit unit) {
        return runTimes.of(unit.job().job(), unit.first().step()).medianMs();
    }

    /**
     * Returns the workers that may be used for a unit, without those to avoid as long as it could fit on the others if
     * they were empty.
     */
    List<WorkerAllocations> eligible(Unit unit) {
        List<WorkerAllocations> suitable = suitable(unit);
        if (mayUseAnyWorker(unit)) {
            return suitable;
        }
        List<WorkerAllocations> preferred = preferredWorkers(unit, suitable);
        if (preferred.size() == suitable.size()) {
            return suitable;
        }
        FreeCapacity empty = new FreeCapacity(preferred, w -> w.report().capacity());
        boolean enough = empty.fit(unit.tasks(), unit.spec(), preferred, false).isPresent();
        return enough ? preferred : suitable;
    }

    private List<WorkerAllocations> suitable(Unit unit) {
        return suitableWorkers.computeIfAbsent(requirementOf(unit), this::findSuitable);
    }

    private List<WorkerAllocations> findSuitable(Requirement requirement) {
        return workers.stream()
                .filter(w -> w.report().pool().equals(requirement.pool()))
                .filter(w -> !w.report().lost() && w.report().takesTasks() && w.isReadable())
                .filter(w -> !evacuations.covers(w))
                .filter(w -> nowMs - w.reportedMs() <= PlacementPass.MAX_REPORT_AGE_MS)
                .filter(w -> !w.health().isExcluded(nowMs))
                .filter(w -> w.report().has(requirement.label()))
                .toList();
    }

    /**
     * Returns the workers that a unit need not avoid: one is avoided while it fails tasks at their start, if one of the
     * unit's tasks failed on it last, or, for a task on its last attempt, if it has had recent failures.
     */
    private List<WorkerAllocations> preferredWorkers(Unit unit, List<WorkerAllocations> suitable) {
        boolean lastAttempt = false;
        Set<String> failedOn = new HashSet<>();
        for (TaskProgress t : unit.tasks()) {
            lastAttempt |= t.failures() + 1 >= unit.job().job().maxAttempts();
            if (t.failures() > 0) {
                failedOn.add(t.failedOn());
            }
        }
        List<WorkerAllocations> preferred = new ArrayList<>(suitable.size());
        for (WorkerAllocations w : suitable) {
            boolean avoid = w.health().isSuspect(nowMs)
                    || failedOn.contains(w.name())
                    || lastAttempt && w.health().failures() > 0;
            if (!avoid) {
                preferred.add(w);
            }
        }
        return preferred;
    }
}
