package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Selects the runs to preempt for more urgent tasks with the least lost work.
 *
 * <p>Only runs of less urgent jobs are preempted; a member of a gang counts with the work of its whole gang. Not
 * thread-safe.
 */
final class Reclaim {
    /** A stop that takes longer than this is not expected to free its resources soon, in milliseconds. */
    static final long MAX_EXPECTED_STOP_MS = 1_500;

    /** Cost assumed for a restart, in milliseconds of the task's resources: the platform's time to restore a task. */
    private static final double RESTART_COST_MS = 500;

    /** The tasks to preempt and the workers to which the new tasks are then assigned. Immutable. */
    record Plan(List<FreeCapacity.Assignment> assignments, List<TaskProgress> victims, double lostCoreMs) {}

    private final Map<String, JobProgress> jobs;
    private final FreeCapacity freeCapacity;
    private final long nowMs;
    private long workerLooks;
    private final Map<WorkerAllocations, Map<Integer, Preemptible>> preemptibleByPriority = new HashMap<>();

    /** The runs on a worker that jobs of one priority may preempt, and their sums. Immutable. */
    private record Preemptible(List<TaskProgress> tasks, Resources occupied, double lostCoreMs) {}

    Reclaim(Map<String, JobProgress> jobs, FreeCapacity freeCapacity, long nowMs) {
        this.jobs = jobs;
        this.freeCapacity = freeCapacity;
        this.nowMs = nowMs;
    }

    /**
     * Returns the plan with the least lost work that frees capacity for all tasks of a step; empty if there is none.
     */
    Optional<Plan> find(
            List<TaskProgress> tasks,
            StepSpec spec,
            int priority,
            Collection<WorkerAllocations> workers,
            boolean oneRack) {
        return FreeCapacity.groups(workers, oneRack).stream()
                .map(g -> planForGroup(tasks, spec, priority, g))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(Plan::lostCoreMs));
    }

    private Optional<Plan> planForGroup(
            List<TaskProgress> tasks, StepSpec spec, int priority, List<WorkerAllocations> group) {
        FreeCapacity capacityAfterPreemption = new FreeCapacity(group, w -> freeCapacity
                .of(w)
                .plus(w.heldByRecentStops(nowMs, MAX_EXPECTED_STOP_MS))
                .plus(preemptible(w, priority).occupied()));
        Set<TaskProgress> victims = new LinkedHashSet<>();
        Optional<List<FreeCapacity.Assignment>> fit = capacityAfterPreemption.fit(
                tasks, spec, group, false, w -> preemptible(w, priority).lostCoreMs());
        workerLooks += capacityAfterPreemption.workerLooks();
        if (fit.isEmpty()) {
            return Optional.empty();
        }
        List<FreeCapacity.Assignment> chosen = fit.get();
        for (WorkerAllocations w :
                chosen.stream().map(FreeCapacity.Assignment::worker).distinct().toList()) {
            long count = chosen.stream().filter(a -> a.worker() == w).count();
            Resources need = Resources.NONE;
            for (int i = 0; i < count; i++) {
                need = need.plus(spec.occupied());
            }
            if (!addVictims(w, need, priority, victims)) {
                return Optional.empty();
            }
        }
        double lost = victims.stream().mapToDouble(this::lostCoreMs).sum();
        return Optional.of(new Plan(chosen, List.copyOf(victims), lost));
    }

    /** Adds the tasks to preempt on a worker; tells whether that frees enough capacity. */
    private boolean addVictims(WorkerAllocations w, Resources need, int priority, Set<TaskProgress> victims) {
        Resources available = freeCapacity.of(w).plus(w.heldByRecentStops(nowMs, MAX_EXPECTED_STOP_MS));
        List<TaskProgress> candidates = new ArrayList<>(preemptible(w, priority).tasks());
        candidates.sort(Comparator.comparingDouble(this::lostCoreMs));
        List<TaskProgress> selected = new ArrayList<>();
        for (TaskProgress t : candidates) {
            if (need.fitsIn(available)) {
                break;
            }
            if (!isInterruptible(
                    t, Stream.concat(victims.stream(), selected.stream()).toList())) {
                continue;
            }
            selected.add(t);
            available = available.plus(occupied(t));
        }
        // Tasks selected later may free enough that earlier, smaller ones need not be preempted.
        for (TaskProgress t : List.copyOf(selected)) {
            Resources without = available.minus(occupied(t));
            if (need.fitsIn(without)) {
                selected.remove(t);
                available = without;
            }
        }
        victims.addAll(selected);
        return need.fitsIn(available);
    }

    long workerLooks() {
        return workerLooks;
    }

    /** Forgets what was computed of the workers' runs, after some were stopped. */
    void invalidateAll() {
        preemptibleByPriority.clear();
    }

    private Preemptible preemptible(WorkerAllocations w, int priority) {
        return preemptibleByPriority
                .computeIfAbsent(w, x -> new HashMap<>())
                .computeIfAbsent(priority, p -> findPreemptible(w, p));
    }

    private Preemptible findPreemptible(WorkerAllocations w, int priority) {
        List<TaskProgress> found = new ArrayList<>();
        Resources sum = Resources.NONE;
        double lost = 0;
        for (TaskRun run : w.runs()) {
            JobProgress job = jobs.get(run.task().job());
            if (job != null && job.job().priority() > priority) {
                job.find(run.task()).filter(t -> isInterruptible(t, List.of())).ifPresent(found::add);
            }
        }
        for (TaskProgress t : found) {
            sum = sum.plus(occupied(t));
            lost += lostCoreMs(t);
        }
        return new Preemptible(found, sum, lost);
    }

    /** Tells whether a task may be interrupted in addition to the selected ones, under the limit of its step. */
    private boolean isInterruptible(TaskProgress t, Collection<TaskProgress> selected) {
        JobProgress job = jobs.get(t.id().job());
        int limit = job.spec(t.id()).maxUnavailable();
        if (limit == 0) {
            return true;
        }
        long unavailable = job.step(t.id()).stream()
                .filter(m -> m != t && (!m.isFullyRunning() || selected.contains(m)))
                .count();
        return unavailable < limit;
    }

    private Resources occupied(TaskProgress t) {
        return jobs.get(t.id().job()).spec(t.id()).occupied();
    }

    private double lostCoreMs(TaskProgress t) {
        JobProgress job = jobs.get(t.id().job());
        StepSpec spec = job.spec(t.id());
        double members = spec.gang() ? spec.taskCount() : 1;
        double unsavedMs = spec.checkpointing() ? 0 : nowMs - t.placedMs();
        // A restart has a cost even if all work is saved.
        return members * spec.need().cores() * (unsavedMs + RESTART_COST_MS);
    }
}
