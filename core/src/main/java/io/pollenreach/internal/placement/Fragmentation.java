package io.pollenreach.internal.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.pollenreach.Adjacency;

/**
 * Measures how much of a cluster's free capacity one gang with an adjacency requirement could use.
 *
 * <p>Immutable.
 *
 * @param freeAccelerators accelerators that nobody holds on usable workers
 * @param largestGang accelerators of the largest gang that could start now within one group of workers
 */
public record Fragmentation(int freeAccelerators, int largestGang) {
    /**
     * Computes the fragmentation of the free capacity.
     *
     * @param workers all known workers; unusable ones do not count
     * @param adjacency the group that the gang must stay inside
     * @param acceleratorsPerPart accelerators of each part of the gang
     */
    public static Fragmentation of(List<WorkerView> workers, Adjacency adjacency, int acceleratorsPerPart) {
        Map<String, Integer> groups = new HashMap<>();
        int free = 0;
        for (WorkerView w : workers) {
            if (!w.usable()) {
                continue;
            }
            free += w.free();
            int usableFree = w.free() / acceleratorsPerPart * acceleratorsPerPart;
            groups.merge(adjacency.group(w.zone(), w.rack()), usableFree, Integer::sum);
        }
        int largest = groups.values().stream().mapToInt(n -> n).max().orElse(0);
        return new Fragmentation(free, largest);
    }

    /** Returns the share of the free accelerators that the largest gang could not use, 0 to 1. */
    public double ratio() {
        return freeAccelerators == 0 ? 0 : 1 - (double) largestGang / freeAccelerators;
    }
}
