package io.pollenreach.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.pollenreach.Adjacency;
import io.pollenreach.Shape;

/**
 * Packs shapes onto the free accelerators of workers, those with the closest adjacency and widest parts first.
 *
 * <p>A heuristic: a packing that it finds is valid, but it may miss one that exists. Not safe for use by many threads.
 */
final class ShapePacking {
    /** Closest adjacency first, then the widest parts, then the most accelerators. */
    static final Comparator<Shape> HARDEST_FIRST = Comparator.comparing(Shape::adjacency)
            .thenComparing(Comparator.comparingInt(Shape::acceleratorsPerPart).reversed())
            .thenComparing(Comparator.comparingInt(Shape::accelerators).reversed());

    private final List<WorkerCapacity> workers = new ArrayList<>();

    /** Adds a worker with some accelerators free for packing. */
    void add(String zone, String rack, int free) {
        if (free > 0) {
            workers.add(new WorkerCapacity(zone, rack, free));
        }
    }

    /** Packs all shapes; returns the first that does not fit. */
    Optional<Shape> pack(List<Shape> shapes) {
        List<Shape> order = new ArrayList<>(shapes);
        order.sort(HARDEST_FIRST);
        return order.stream().filter(s -> !place(s)).findFirst();
    }

    /** Allocates accelerators for the shape if it fits; returns whether it did. */
    boolean place(Shape shape) {
        List<WorkerCapacity> best = null;
        int bestSpare = Integer.MAX_VALUE;
        for (List<WorkerCapacity> group : groups(shape.adjacency())) {
            int parts = 0;
            int free = 0;
            for (WorkerCapacity r : group) {
                parts += r.free / shape.acceleratorsPerPart();
                free += r.free;
            }
            if (parts >= shape.parts() && free < bestSpare) {
                best = group;
                bestSpare = free;
            }
        }
        if (best == null) {
            return false;
        }
        allocate(shape, best);
        return true;
    }

    private static void allocate(Shape shape, List<WorkerCapacity> group) {
        group.sort(Comparator.comparingInt(r -> r.free));
        int missing = shape.parts();
        for (WorkerCapacity r : group) {
            int n = Math.min(missing, r.free / shape.acceleratorsPerPart());
            r.free -= n * shape.acceleratorsPerPart();
            missing -= n;
        }
    }

    private Iterable<List<WorkerCapacity>> groups(Adjacency adjacency) {
        Map<String, List<WorkerCapacity>> groups = new LinkedHashMap<>();
        for (WorkerCapacity r : workers) {
            groups.computeIfAbsent(adjacency.group(r.zone, r.rack), k -> new ArrayList<>())
                    .add(r);
        }
        return groups.values();
    }

    private static final class WorkerCapacity {
        private final String zone;
        private final String rack;
        private int free;

        WorkerCapacity(String zone, String rack, int free) {
            this.zone = zone;
            this.rack = rack;
            this.free = free;
        }
    }
}
