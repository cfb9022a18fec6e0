package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Selects the runs to preempt for more urgent tasks with the least lost work.
 *
 * <p>Only runs within a {@link VictimScope} are preempted; a member of a gang counts with the work of its whole gang. Not
 * thread-safe.
 */
final class Reclaim {
    /** A stop that takes longer than this is not expected to free its resources soon, in milliseconds. */
    static final long MAX_EXPECTED_STOP_MS = 1_500;

    /**
     * How long after a report a task that it showed at work counts as such, in milliseconds. A busy worker is reported
     * twice in this time; with the age of what a report tells and the time that a stop takes, it is less than the time
     * after which the platform counts a task as unavailable.
     */
    static final long MAX_PROGRESS_AGE_MS = 1_500;

    /** Cost assumed for a restart, in milliseconds of the task's resources: the platform's time to restore a task. */
    private static final double RESTART_COST_MS = 500;

    /** The tasks to preempt and the workers to which the new tasks are then assigned. Immutable. */
    record Plan(List<FreeCapacity.Assignment> assignments, List<TaskProgress> victims, double lostCoreMs) {}

    private final Map<String, JobProgress> jobs;
    private final FreeCapacity freeCapacity;
    private final long nowMs;
    private final SpeedClasses speedClasses;
    private final GuaranteeShares shares;
    private final Map<Target, Map<WorkerAllocations, List<TaskProgress>>> preemptible = new HashMap<>();
    /** What the workspaces have borrowed; empty while that was not needed. */
    private Optional<Map<String, Long>> borrowed = Optional.empty();

    private final ToDoubleFunction<TaskProgress> weight;
    private long workersExamined;

    /** For whom capacity is freed: the priority, and which runs may be stopped. Immutable. */
    record Target(int priority, VictimScope scope) {}

    /** Creates a search; {@code weight} returns how much the lost work of a task counts, infinite if it may not be lost. */
    Reclaim(
            Map<String, JobProgress> jobs,
            GuaranteeShares shares,
            FreeCapacity freeCapacity,
            long nowMs,
            SpeedClasses speedClasses,
            ToDoubleFunction<TaskProgress> weight) {
        this.jobs = jobs;
        this.shares = shares;
        this.freeCapacity = freeCapacity;
        this.nowMs = nowMs;
        this.speedClasses = speedClasses;
        this.weight = weight;
    }

    /**
     * Returns the plan with the least lost work that frees capacity for all tasks of a step; empty if there is none.
     */
    Optional<Plan> find(
            List<TaskProgress> tasks,
            StepSpec spec,
            Target target,
            Collection<WorkerAllocations> workers,
            boolean oneRack) {
        return FreeCapacity.groups(workers, oneRack).stream()
                .map(g -> planForGroup(tasks, spec, target, g))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(Plan::lostCoreMs));
    }

    private Optional<Plan> planForGroup(
            List<TaskProgress> tasks, StepSpec spec, Target target, List<WorkerAllocations> group) {
        VictimSelection selection =
                new VictimSelection(this, spec, target, group, tasks.get(0).id());
        List<FreeCapacity.Assignment> chosen = new ArrayList<>();
        for (TaskProgress task : tasks) {
            workersExamined += group.size();
            Optional<WorkerAllocations> worker = selection.takeCheapestSlot();
            if (worker.isEmpty()) {
                return Optional.empty();
            }
            chosen.add(new FreeCapacity.Assignment(task, worker.get()));
        }
        return Optional.of(new Plan(chosen, selection.victims(), selection.lostCoreMs()));
    }

    long workersExamined() {
        return workersExamined;
    }

    /** Forgets what was computed of the workers' runs, after some were stopped. */
    void invalidateAll() {
        preemptible.clear();
        borrowed = Optional.empty();
    }

    /** Returns the order of a worker among the speed classes of its pool, the slowest first. */
    int speedRank(WorkerAllocations w) {
        return speedClasses.of(w).rank();
    }

    /** Returns the capacity of a worker that is free, or will be once recent stops are carried out. */
    Resources available(WorkerAllocations w) {
        return freeCapacity.of(w).plus(w.heldByRecentStops(nowMs, MAX_EXPECTED_STOP_MS));
    }

    /** Returns the tasks on a worker that may be preempted, those with the least work first. */
    List<TaskProgress> preemptible(WorkerAllocations w, Target target) {
        return preemptible.computeIfAbsent(target, x -> new HashMap<>()).computeIfAbsent(w, x -> find(w, target));
    }

    private List<TaskProgress> find(WorkerAllocations w, Target target) {
        List<TaskProgress> found = new ArrayList<>();
        for (TaskRun run : w.runs()) {
            JobProgress job = jobs.get(run.task().job());
            if (job != null) {
                job.find(run.task())
                        .filter(t -> target.scope().includes(job, t, target.priority(), shares))
                        .filter(t -> weight.applyAsDouble(t) < Double.POSITIVE_INFINITY)
                        .ifPresent(found::add);
            }
        }
        found.sort(Comparator.comparingDouble(this::lostCoreMs));
        return found;
    }

    /** Tells whether a task may be preempted in addition to the selected ones without more than its workspace has borrowed. */
    boolean isWithinBorrowed(TaskProgress t, Collection<TaskProgress> selected) {
        JobProgress job = jobs.get(t.id().job());
        if (job.job().priority() > 0) {
            return true;
        }
        Set<TaskProgress> stopped = new HashSet<>(withGang(t));
        selected.forEach(s -> stopped.addAll(withGang(s)));
        String workspace = job.job().workspace();
        long accelerators = stopped.stream()
                .filter(s -> s.state() == TaskProgress.State.PLACED)
                .filter(s -> isUrgentOf(workspace, s))
                .mapToLong(s -> spec(s).need().accelerators())
                .sum();
        if (borrowed.isEmpty()) {
            borrowed = Optional.of(shares.borrowedByWorkspace());
        }
        return accelerators <= borrowed.get().getOrDefault(workspace, 0L);
    }

    private boolean isUrgentOf(String workspace, TaskProgress t) {
        BatchJob job = jobs.get(t.id().job()).job();
        return job.priority() == 0 && job.workspace().equals(workspace);
    }

    private List<TaskProgress> withGang(TaskProgress t) {
        return spec(t).gang() ? step(t) : List.of(t);
    }

    /** Tells whether a task may be interrupted in addition to the selected ones, under the limit of its step. */
    boolean isInterruptible(TaskProgress t, Collection<TaskProgress> selected) {
        int limit = spec(t).maxUnavailable();
        if (limit == 0) {
            return true;
        }
        long unavailable = step(t).stream()
                .filter(m -> m != t && (!isAtWork(m) || selected.contains(m)))
                .count();
        return unavailable < limit;
    }

    private boolean isAtWork(TaskProgress t) {
        return t.isFullyRunning() && t.progressAgeMs(nowMs) <= MAX_PROGRESS_AGE_MS;
    }

    StepSpec spec(TaskProgress t) {
        return jobs.get(t.id().job()).spec(t.id());
    }

    List<TaskProgress> step(TaskProgress t) {
        return jobs.get(t.id().job()).step(t.id());
    }

    /** Returns the weighted work that is lost if a task is preempted, with its gang, in core milliseconds. */
    double lostCoreMs(TaskProgress t) {
        StepSpec spec = spec(t);
        double members = spec.gang() ? spec.taskCount() : 1;
        double unsavedMs = spec.checkpointing() ? 0 : nowMs - t.placedMs();
        // A restart has a cost even if all work is saved.
        return weight.applyAsDouble(t) * members * spec.need().cores() * (unsavedMs + RESTART_COST_MS);
    }
}
