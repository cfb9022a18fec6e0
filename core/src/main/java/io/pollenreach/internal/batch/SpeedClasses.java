package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The workers of each pool, grouped into classes of similar speed, at one moment.
 *
 * <p>A group is divided where its two parts differ most, as long as their mean speeds differ clearly; neighbours need not
 * be apart, because measured speeds vary within a class. Workers far slower than their pool's median are a class of
 * their own, impaired. Invariant: all workers of a pool are in one class, of nominal speed, unless a speed other than the
 * nominal one is known in some pool. Immutable.
 */
final class SpeedClasses {
    /** The ratio of the mean speeds from which two groups of workers are different classes. */
    static final double MIN_RATIO = 1.4;

    /** The share of its pool's median speed below which a worker counts as impaired. */
    static final double IMPAIRED_SHARE = 1.0 / 3;

    /** Levels of speed differ by a tenth; that of unmeasured workers lies between slow and fast ones. */
    private static final double LEVEL = Math.log(1.1);

    /**
     * Workers of similar speed in one pool. Immutable.
     *
     * @param rank the order by speed within the pool, 0 for the slowest class and less for impaired workers
     * @param speed the geometric mean of the workers' speeds, 1 for the nominal speed
     */
    record SpeedClass(int rank, double speed) {
        private static final int IMPAIRED_RANK = -1;

        boolean impaired() {
            return rank == IMPAIRED_RANK;
        }
    }

    private static final SpeedClass ONLY = new SpeedClass(0, WorkerSpeeds.NOMINAL);
    static final SpeedClasses UNIFORM = new SpeedClasses(Map.of(), Map.of());

    private final Map<WorkerAllocations, SpeedClass> byWorker;
    /** The level of what is known of each worker's own speed. */
    private final Map<WorkerAllocations, Integer> levelByWorker;

    private SpeedClasses(Map<WorkerAllocations, SpeedClass> byWorker, Map<WorkerAllocations, Integer> levelByWorker) {
        this.byWorker = byWorker;
        this.levelByWorker = levelByWorker;
    }

    /** Groups workers by their speeds; those that are lost are left out. */
    static SpeedClasses of(WorkerSpeeds speeds, Collection<WorkerAllocations> workers) {
        if (workers.stream().allMatch(w -> speeds.of(w) == WorkerSpeeds.NOMINAL)) {
            return UNIFORM;
        }
        Map<WorkerAllocations, SpeedClass> byWorker = new HashMap<>();
        workers.stream()
                .filter(w -> !w.report().lost())
                .collect(Collectors.groupingBy(w -> w.report().pool()))
                .values()
                .forEach(pool -> addPool(speeds, pool, byWorker));
        boolean uniform = byWorker.values().stream().allMatch(c -> c.rank() == 0);
        if (uniform) {
            return UNIFORM;
        }
        Map<WorkerAllocations, Integer> levelByWorker = new HashMap<>();
        byWorker.keySet().forEach(w -> levelByWorker.put(w, level(speeds.of(w))));
        return new SpeedClasses(byWorker, levelByWorker);
    }

    private static void addPool(
            WorkerSpeeds speeds, List<WorkerAllocations> pool, Map<WorkerAllocations, SpeedClass> byWorker) {
        double[] logs =
                pool.stream().mapToDouble(w -> Math.log(speeds.of(w))).sorted().toArray();
        double impairedBelow = logs[logs.length / 2] + Math.log(IMPAIRED_SHARE);
        int impaired = 0;
        while (logs[impaired] < impairedBelow) {
            impaired++;
        }
        TreeMap<Double, SpeedClass> classBySlowest = new TreeMap<>();
        if (impaired > 0) {
            double mean = mean(logs, 0, impaired);
            classBySlowest.put(logs[0], new SpeedClass(SpeedClass.IMPAIRED_RANK, Math.exp(mean)));
        }
        List<Integer> starts = new ArrayList<>();
        divide(logs, impaired, logs.length, starts);
        for (int i = 0; i < starts.size(); i++) {
            int from = starts.get(i);
            int to = i + 1 < starts.size() ? starts.get(i + 1) : logs.length;
            classBySlowest.put(logs[from], new SpeedClass(i, Math.exp(mean(logs, from, to))));
        }
        pool.forEach(w -> byWorker.put(
                w, classBySlowest.floorEntry(Math.log(speeds.of(w))).getValue()));
    }

    /** Adds the first index of each class among the sorted logarithms of speeds in a range. */
    private static void divide(double[] logs, int from, int to, List<Integer> starts) {
        double sum = Arrays.stream(logs, from, to).sum();
        double lower = 0;
        double widest = 0;
        int best = from;
        double ratio = 0;
        for (int i = from + 1; i < to; i++) {
            lower += logs[i - 1];
            double distance = (sum - lower) / (to - i) - lower / (i - from);
            double between = distance * distance * (i - from) * (to - i);
            if (between > widest && logs[i] > logs[i - 1]) {
                widest = between;
                best = i;
                ratio = distance;
            }
        }
        if (ratio < Math.log(MIN_RATIO)) {
            starts.add(from);
            return;
        }
        divide(logs, from, best, starts);
        divide(logs, best, to, starts);
    }

    private static double mean(double[] values, int from, int to) {
        return Arrays.stream(values, from, to).average().orElse(0);
    }

    /** Tells whether all workers are in one class. */
    boolean isUniform() {
        return byWorker.isEmpty();
    }

    SpeedClass of(WorkerAllocations worker) {
        return byWorker.getOrDefault(worker, ONLY);
    }

    private static int level(double speed) {
        return (int) Math.round(Math.log(speed) / LEVEL);
    }

    /**
     * Returns the level of what is known of a worker's own speed, higher for faster ones; that of the nominal speed if
     * nothing is known, or while all are in one class.
     */
    int levelOf(WorkerAllocations worker) {
        return levelByWorker.getOrDefault(worker, level(WorkerSpeeds.NOMINAL));
    }

    /** Returns how many workers of all pools are slower and how many faster than nominal, by the speed of their class. */
    SpeedCounts counts() {
        int slower = 0;
        int faster = 0;
        int impaired = 0;
        for (SpeedClass c : byWorker.values()) {
            impaired += c.impaired() ? 1 : 0;
            slower += !c.impaired() && c.speed() < WorkerSpeeds.NOMINAL ? 1 : 0;
            faster += c.speed() > WorkerSpeeds.NOMINAL ? 1 : 0;
        }
        return new SpeedCounts(slower, faster, impaired);
    }
}
