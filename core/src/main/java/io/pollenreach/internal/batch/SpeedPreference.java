package io.pollenreach.internal.batch;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * Decides which speed classes of workers a unit uses, in which order.
 *
 * <p>Urgent units use the fastest workers first, others the slowest class, so that the fast workers stay free for urgent
 * ones. A gang ends with its slowest member, so an urgent one is placed where that is as fast as possible, and any gang
 * within one class if it fits there. Near data, one rack and recent failures matter more than speed, and a unit that
 * fits somewhere never waits for its class, except as {@link #endsClearlyEarlier} allows. While all workers are in one
 * class, every choice is the one made without speeds. Not thread-safe.
 */
final class SpeedPreference {
    /** The share of the time until the end on slow workers within which a unit must end elsewhere to give them up. */
    static final double MAX_SHARE_OF_END = 0.8;

    private final SpeedClasses classes;
    private final RunTimes runTimes;

    SpeedPreference(SpeedClasses classes, RunTimes runTimes) {
        this.classes = classes;
        this.runTimes = runTimes;
    }

    SpeedClasses classes() {
        return classes;
    }

    /** Finds workers for a unit among those with free capacity. */
    Optional<List<FreeCapacity.Assignment>> fit(
            FreeCapacity free, Unit unit, Collection<WorkerAllocations> workers, boolean oneRack) {
        if (classes.isUniform()) {
            return free.fit(unit.tasks(), unit.spec(), workers, oneRack);
        }
        if (unit.tasks().size() == 1) {
            ToDoubleFunction<WorkerAllocations> cost = isUrgent(unit) ? w -> -classes.levelOf(w) : this::slowFirst;
            return free.fit(unit.tasks(), unit.spec(), workers, oneRack, cost);
        }
        return (isUrgent(unit) ? fastestFirst(workers) : slowestFirst(workers))
                .map(w -> free.fit(unit.tasks(), unit.spec(), w, oneRack, this::slowFirst))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static boolean isUrgent(Unit unit) {
        return unit.job().job().priority() == 0;
    }

    private int rank(WorkerAllocations w) {
        return classes.of(w).rank();
    }

    private double slowFirst(WorkerAllocations w) {
        return classes.of(w).impaired() ? Double.MAX_VALUE : rank(w);
    }

    /** Returns the workers from each level of speed on, the highest one first, so that the last ones are all workers. */
    private Stream<Collection<WorkerAllocations>> fastestFirst(Collection<WorkerAllocations> workers) {
        TreeSet<Integer> levels = new TreeSet<>();
        workers.forEach(w -> levels.add(classes.levelOf(w)));
        return levels.descendingSet().stream()
                .map(l -> workers.stream().filter(w -> classes.levelOf(w) >= l).toList());
    }

    /** Returns each class, the slowest first and impaired workers last, followed by all workers. */
    private Stream<Collection<WorkerAllocations>> slowestFirst(Collection<WorkerAllocations> workers) {
        Stream<Collection<WorkerAllocations>> alone =
                ranks(workers).stream().filter(r -> r >= 0).map(r -> withRank(workers, x -> x.equals(r)));
        return Stream.concat(alone, Stream.of(workers));
    }

    /**
     * Returns the workers on which runs may be preempted for an urgent unit: the fastest class first, then each time those
     * of the next class as well, so that the last ones are all workers.
     */
    List<Collection<WorkerAllocations>> forReclaim(Collection<WorkerAllocations> workers) {
        if (classes.isUniform()) {
            return List.of(workers);
        }
        return ranks(workers).descendingSet().stream()
                .map(r -> withRank(workers, x -> x >= r))
                .toList();
    }

    private TreeSet<Integer> ranks(Collection<WorkerAllocations> workers) {
        TreeSet<Integer> ranks = new TreeSet<>();
        workers.forEach(w -> ranks.add(rank(w)));
        return ranks;
    }

    private Collection<WorkerAllocations> withRank(Collection<WorkerAllocations> workers, Predicate<Integer> wanted) {
        return workers.stream().filter(w -> wanted.test(rank(w))).toList();
    }

    /** Returns the time until a unit that is to be claimed a worker would end there, in milliseconds. */
    double claimCost(Unit unit, WorkerAllocations w, long untilFitsMs) {
        if (classes.isUniform() || !isUrgent(unit)) {
            return untilFitsMs;
        }
        return untilFitsMs + nominalMs(unit) / classes.of(w).speed();
    }

    /**
     * Returns the workers that are faster than the slowest one chosen for an urgent unit, if that one is slower than
     * nominal; none if the unit should be content with what was chosen.
     */
    List<WorkerAllocations> fasterThan(
            Unit unit, List<FreeCapacity.Assignment> chosen, Collection<WorkerAllocations> workers) {
        if (classes.isUniform() || !isUrgent(unit) || speed(chosen) >= WorkerSpeeds.NOMINAL) {
            return List.of();
        }
        int slowest = chosen.stream().mapToInt(a -> rank(a.worker())).min().orElse(0);
        return workers.stream().filter(w -> rank(w) > slowest).toList();
    }

    /**
     * Tells whether a unit ends clearly earlier if it waits for other workers than if it starts now. A unit waits no
     * longer, all its waiting together, than it would run at nominal speed.
     */
    boolean endsClearlyEarlier(
            Unit unit,
            long waitedMs,
            long untilFitsMs,
            List<FreeCapacity.Assignment> later,
            List<FreeCapacity.Assignment> now) {
        double nominalMs = nominalMs(unit);
        boolean bounded = untilFitsMs <= nominalMs - waitedMs;
        return bounded && untilFitsMs + nominalMs / speed(later) <= MAX_SHARE_OF_END * nominalMs / speed(now);
    }

    private double nominalMs(Unit unit) {
        return runTimes.of(unit.job().job(), unit.first().step()).medianMs();
    }

    private double speed(List<FreeCapacity.Assignment> assignments) {
        return assignments.stream()
                .mapToDouble(a -> classes.of(a.worker()).speed())
                .min()
                .orElse(WorkerSpeeds.NOMINAL);
    }
}
