package io.pollenreach.internal.intake;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.Maps;
import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.batch.Resources;
import io.pollenreach.internal.batch.TaskBudget;

/**
 * The work that waits or runs, and the capacity for it, as the leader publishes them.
 *
 * <p>Invariant: holds no more than the limits below, whatever the number of jobs. Immutable.
 *
 * @param pools the pools that have workers
 * @param urgentAccelerators the accelerators that the active jobs of priority 0 of each workspace need; none for a
 *     workspace that is not named
 * @param tasks how many tasks the active jobs have, those of open occurrences of recurring ones
 * @param tasksByWorkspace the part of them of each workspace; at most {@link #MAX_WORKSPACES}, those with most
 */
public record BacklogSnapshot(
        List<PoolBacklog> pools, Map<String, Long> urgentAccelerators, long tasks, Map<String, Long> tasksByWorkspace) {
    /** Most pools that are published; jobs of other pools are always admitted. */
    public static final int MAX_POOLS = 16;

    /** Most priorities that are published of a pool; the most urgent ones. */
    public static final int MAX_PRIORITIES = 16;

    /** Most workspaces that are published of a priority, those with most work; the others count as below their share. */
    public static final int MAX_WORKSPACES = 64;

    /** A capacity beyond that of any deployment; a larger one is an error. */
    private static final Resources MAX_CAPACITY = new Resources(1L << 50, 1L << 50, 1 << 30);

    /** Creates a snapshot; parts that are missing in a row are empty. */
    public BacklogSnapshot {
        pools = pools == null ? List.of() : List.copyOf(pools);
        urgentAccelerators = urgentAccelerators == null ? Map.of() : Map.copyOf(urgentAccelerators);
        tasksByWorkspace = tasksByWorkspace == null ? Map.of() : Map.copyOf(tasksByWorkspace);
    }

    /** Creates a snapshot without tasks. */
    public BacklogSnapshot(List<PoolBacklog> pools, Map<String, Long> urgentAccelerators) {
        this(pools, urgentAccelerators, 0, Map.of());
    }

    /**
     * The work of one priority.
     *
     * <p>Immutable.
     *
     * @param work all work that waits or is left of what runs and can be of use
     * @param late the part of it that waits and goes after new jobs, because it can no longer be in time
     * @param waitingByWorkspace the rest of what waits, by workspace, as far as it lies beyond the guarantee
     */
    public record PriorityBacklog(Work work, Work late, Map<String, Work> waitingByWorkspace) {
        /** Creates the work of a priority; parts that are missing in a row are empty. */
        public PriorityBacklog {
            work = work == null ? Work.NONE : work;
            late = late == null ? Work.NONE : late;
            waitingByWorkspace = waitingByWorkspace == null ? Map.of() : Map.copyOf(waitingByWorkspace);
        }

        private PriorityBacklog with(String workspace, Work added) {
            Map<String, Work> next = new HashMap<>(waitingByWorkspace);
            next.merge(workspace, added, Work::plus);
            return new PriorityBacklog(work.plus(added), late, next);
        }

        private boolean isValid() {
            return work.isValid()
                    && late.isValid()
                    && waitingByWorkspace.values().stream().allMatch(Work::isValid);
        }
    }

    /**
     * The work of one pool.
     *
     * <p>Immutable.
     *
     * @param pool the name of the pool
     * @param capacity the capacity of all workers that are not lost, also of those that take no tasks for now
     * @param largest the largest of each resource that a worker of the pool has had
     * @param byPriority the work of each priority
     */
    public record PoolBacklog(
            String pool, Resources capacity, Resources largest, Map<Integer, PriorityBacklog> byPriority) {
        private static final PriorityBacklog EMPTY = new PriorityBacklog(Work.NONE, Work.NONE, Map.of());

        /** Creates the work of a pool; parts that are missing in a row are empty. */
        public PoolBacklog {
            pool = pool == null ? "" : pool;
            capacity = capacity == null ? Resources.NONE : capacity;
            largest = largest == null ? Resources.NONE : largest;
            byPriority = byPriority == null ? Map.of() : Map.copyOf(byPriority);
        }

        /**
         * Returns how long the workers need for what goes before a new job of a priority, in milliseconds: the work of
         * more urgent priorities, and of its own what can be in time.
         */
        public double drainMs(int priority) {
            Work ahead = byPriority.entrySet().stream()
                    .filter(e -> e.getKey() <= priority)
                    .map(e -> e.getValue().work())
                    .reduce(Work.NONE, Work::plus);
            Work late = byPriority.getOrDefault(priority, EMPTY).late();
            return ahead.minus(late).drainMs(capacity);
        }

        /** Returns how long the workers need for what each workspace has waiting at a priority, in milliseconds. */
        Map<String, Double> waitingMs(int priority) {
            return Maps.transformValues(
                    byPriority.getOrDefault(priority, EMPTY).waitingByWorkspace(), w -> w.drainMs(capacity));
        }

        private PoolBacklog with(BatchJob job) {
            PriorityBacklog backlog = byPriority.getOrDefault(job.priority(), EMPTY);
            Map<Integer, PriorityBacklog> next = new HashMap<>(byPriority);
            next.put(job.priority(), backlog.with(job.workspace(), AdmissionPolicy.workOf(job)));
            return new PoolBacklog(pool, capacity, largest, next);
        }

        private boolean isValid() {
            boolean capacities = isCapacity(capacity) && isCapacity(largest);
            return capacities && byPriority.values().stream().allMatch(PriorityBacklog::isValid);
        }

        private static boolean isCapacity(Resources r) {
            return Resources.NONE.fitsIn(r) && r.fitsIn(MAX_CAPACITY);
        }
    }

    /** Returns the work of a pool, if it is known. */
    public Optional<PoolBacklog> pool(String name) {
        return pools.stream().filter(p -> p.pool().equals(name)).findFirst();
    }

    /** Returns this backlog with a job that was admitted after it was counted. */
    BacklogSnapshot with(BatchJob job) {
        Map<String, Long> urgent = new HashMap<>(urgentAccelerators);
        if (job.priority() == 0) {
            urgent.merge(job.workspace(), (long) job.accelerators(), Long::sum);
        }
        List<PoolBacklog> next = pools.stream()
                .map(p -> p.pool().equals(job.pool()) ? p.with(job) : p)
                .toList();
        Map<String, Long> byWorkspace = new HashMap<>(tasksByWorkspace);
        byWorkspace.merge(job.workspace(), job.tasksPerOccurrence(), Long::sum);
        return new BacklogSnapshot(next, urgent, tasks + job.tasksPerOccurrence(), byWorkspace);
    }

    /** Tells whether the budget of tasks has room for a job. */
    boolean hasRoomFor(BatchJob job) {
        return TaskBudget.admits(tasksByWorkspace.getOrDefault(job.workspace(), 0L), tasks, job.tasksPerOccurrence());
    }

    /** Tells whether all figures are possible ones; a row may have been written by another version. */
    public boolean isValid() {
        return pools.stream().allMatch(PoolBacklog::isValid)
                && urgentAccelerators.values().stream().allMatch(n -> n >= 0)
                && tasks >= 0
                && tasksByWorkspace.values().stream().allMatch(n -> n >= 0);
    }
}
