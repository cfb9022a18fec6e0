package io.pollenreach.internal.batch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The capacity of all workers of each pool, at the time of one placement pass.
 *
 * <p>Workers marked as lost do not count. Not thread-safe.
 */
final class PoolCapacity {
    /** A step wider than this part of its pool is expected to run in waves of this width. */
    private static final double WAVE_FRACTION = 0.25;

    private final Map<String, Resources> byPool = new HashMap<>();

    PoolCapacity(Collection<WorkerAllocations> workers) {
        for (WorkerAllocations w : workers) {
            if (!w.report().lost()) {
                byPool.merge(w.report().pool(), w.report().capacity(), Resources::plus);
            }
        }
    }

    /** Returns the largest fraction of any one resource of a pool that a need takes; 0 for a pool without workers. */
    double fraction(String pool, Resources need) {
        Resources all = byPool.getOrDefault(pool, Resources.NONE);
        double fraction = ratio(need.milliCpu(), all.milliCpu());
        fraction = Math.max(fraction, ratio(need.memoryMb(), all.memoryMb()));
        return Math.max(fraction, ratio(need.accelerators(), all.accelerators()));
    }

    /** Returns in how many waves tasks are expected to run one after another, at least 1. */
    double waves(String pool, Resources need, int tasks) {
        return Math.min(tasks, Math.max(1, Math.ceil(tasks * fraction(pool, need) / WAVE_FRACTION)));
    }

    /** Returns the accelerators of a pool. */
    int accelerators(String pool) {
        return byPool.getOrDefault(pool, Resources.NONE).accelerators();
    }

    private static double ratio(long part, long whole) {
        return whole <= 0 ? 0 : (double) part / whole;
    }
}
