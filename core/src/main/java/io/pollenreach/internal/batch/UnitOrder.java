package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * The order in which one placement pass decides on waiting units.
 *
 * <p>By rank (guaranteed, then priority); then what can still be in time before what is late; then workspaces that
 * used less of their shares; then by the latest start, with a handicap for large work, so that it does not block much small work
 * when capacity is short. What is past use comes after all ranks, except for one job at a time that has waited very
 * long, so nothing waits for good. Without objectives the order is that of acceptance within a rank.
 *
 * <p>Keys are computed once per step and pass. Not thread-safe.
 */
final class UnitOrder {
    /** How many milliseconds of slack make up for one millisecond of work of the whole pool. */
    private static final double WORK_HANDICAP = 10;

    /** Use of its share up to which a workspace is served like one that used nothing, in milliseconds. */
    private static final double SHARE_QUANTUM_MS = 1_000;

    private static final int GUARANTEED_RANK = -1;

    /** The waiting tasks of one step, with the key by which they are ordered. Immutable. */
    record Group(
            JobProgress job,
            List<TaskProgress> tasks,
            StepSpec spec,
            boolean guaranteed,
            JobTiming timing,
            Timeliness timeliness,
            double latestStartMs,
            double poolMs) {
        int rank() {
            if (guaranteed) {
                return GUARANTEED_RANK;
            }
            return timeliness == Timeliness.PAST_USE
                    ? Integer.MAX_VALUE
                    : job.job().priority();
        }

        double urgency() {
            return timing.hasObjective() ? latestStartMs + WORK_HANDICAP * poolMs : latestStartMs;
        }

        int occurrence() {
            return tasks.get(0).id().occurrence();
        }

        int step() {
            return tasks.get(0).id().step();
        }

        List<Unit> units() {
            if (spec.gang()) {
                return List.of(new Unit(this, tasks));
            }
            return tasks.stream().map(t -> new Unit(this, List.of(t))).toList();
        }
    }

    /** Jobs that share a pool on equal terms. Immutable. */
    private record Level(String pool, int priority) {
        static Level of(WorkspaceUsage.Lane lane) {
            return new Level(lane.pool(), lane.priority());
        }
    }

    /** The guaranteed fraction of a pool and the number of workspaces that share the rest. Immutable. */
    private record Shares(double guaranteed, int sharers) {
        Shares plus(Shares o) {
            return new Shares(guaranteed + o.guaranteed, sharers + o.sharers);
        }
    }

    private static final Comparator<Group> IN_SHARE_ORDER = Comparator.comparingDouble(Group::urgency)
            .thenComparingLong(g -> g.job().sequence())
            .thenComparingInt(Group::occurrence)
            .thenComparingInt(Group::step);

    private static final Comparator<Group> IN_RANK_ORDER =
            Comparator.comparing(Group::timeliness).thenComparing(IN_SHARE_ORDER);

    private final JobTiming.Context context;
    private final WorkspaceUsage usage;
    private final ToIntFunction<String> guarantees;
    private final List<Group> groups = new ArrayList<>();
    private JobTiming timing;
    private List<Unit> units = List.of();

    /** Creates an order for one pass; {@code guarantees} returns the accelerators guaranteed to a workspace. */
    UnitOrder(JobTiming.Context context, WorkspaceUsage usage, ToIntFunction<String> guarantees) {
        this.context = context;
        this.usage = usage;
        this.guarantees = guarantees;
    }

    /** Adds the waiting tasks of a step; those of one job are added one after another. */
    void add(JobProgress job, List<TaskProgress> tasks, boolean guaranteed) {
        if (timing == null || !timing.isOf(job)) {
            timing = new JobTiming(job, context);
        }
        TaskId first = tasks.get(0).id();
        groups.add(new Group(
                job,
                tasks,
                job.spec(first),
                guaranteed,
                timing,
                timing.timeliness(first.occurrence(), first.step(), tasks.size()),
                timing.hasObjective()
                        ? timing.latestStartMs(first.occurrence(), first.step(), tasks.size())
                        : job.acceptedMs(),
                timing.poolMs(first.step(), tasks.size())));
    }

    /** Returns the units in the order in which they are to be decided on. */
    List<Unit> units() {
        Map<Group, Integer> shareLevels = shareLevels();
        Group starved = longestPastUse();
        groups.sort(Comparator.comparing((Group g) -> starved == null || g.job() != starved.job())
                .thenComparingInt(Group::rank)
                .thenComparing(Group::timeliness)
                .thenComparing(g -> shareLevels.getOrDefault(g, 0))
                .thenComparing(IN_SHARE_ORDER));
        List<Unit> ordered = new ArrayList<>();
        groups.forEach(g -> ordered.addAll(g.units()));
        units = ordered;
        return ordered;
    }

    /** Returns what {@link #units()} returned last; empty before. */
    List<Unit> lastUnits() {
        return units;
    }

    /** Returns how many quanta of its share the workspace of each group would have used before it. */
    private Map<Group, Integer> shareLevels() {
        if (groups.stream().noneMatch(g -> g.timing().hasObjective())) {
            return Map.of();
        }
        Map<WorkspaceUsage.Lane, List<Group>> byLane = new HashMap<>();
        groups.forEach(
                g -> byLane.computeIfAbsent(WorkspaceUsage.Lane.of(g.job().job()), l -> new ArrayList<>())
                        .add(g));
        Set<WorkspaceUsage.Lane> active = new HashSet<>(usage.lanes());
        active.addAll(byLane.keySet());
        Map<Level, Shares> shares = shares(active);
        Map<Group, Integer> levels = new IdentityHashMap<>();
        byLane.forEach((lane, waiting) -> {
            double share = share(lane, shares.get(Level.of(lane)));
            double usedMs = usage.usedMs(lane);
            waiting.sort(IN_RANK_ORDER);
            for (Group g : waiting) {
                if (g.timing().hasObjective()) {
                    levels.put(g, (int) (usedMs / share / SHARE_QUANTUM_MS));
                }
                usedMs += g.poolMs();
            }
        });
        return levels;
    }

    /**
     * Returns the fraction of its pool that is a workspace's share: what it is guaranteed for its most urgent jobs, and
     * an equal part of what is guaranteed to no workspace.
     */
    private double share(WorkspaceUsage.Lane lane, Shares ofLevel) {
        return guaranteed(lane) + Math.max(0, 1 - ofLevel.guaranteed()) / ofLevel.sharers();
    }

    private Map<Level, Shares> shares(Set<WorkspaceUsage.Lane> active) {
        Map<Level, Shares> shares = new HashMap<>();
        active.forEach(l -> shares.merge(Level.of(l), new Shares(guaranteed(l), 1), Shares::plus));
        return shares;
    }

    private double guaranteed(WorkspaceUsage.Lane lane) {
        int accelerators = context.capacity().accelerators(lane.pool());
        return lane.priority() == 0 && accelerators > 0
                ? Math.min(1, (double) guarantees.applyAsInt(lane.workspace()) / accelerators)
                : 0;
    }

    /** Returns the oldest group of those that have been past use for longest than they may wait; null for none. */
    private Group longestPastUse() {
        return groups.stream()
                .filter(g -> g.timeliness() == Timeliness.PAST_USE)
                .filter(g -> g.timing().hasStarved(g.occurrence()))
                .min(Comparator.comparingLong((Group g) -> g.job().sequence())
                        .thenComparing(g -> g.job().job().id()))
                .orElse(null);
    }
}
