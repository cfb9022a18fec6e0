package io.pollenreach.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.pollenreach.Shape;
import io.pollenreach.Workspace;

/**
 * Which guaranteed shapes of each workspace are in use.
 *
 * <p>Invariant: each guaranteed shape is used by at most one job. Confined to one round, so not safe for use by many
 * threads.
 */
final class GuaranteeLedger {
    private static final Comparator<Shape> BY_SIZE =
            Comparator.comparingInt(Shape::accelerators).thenComparingInt(Shape::parts);

    private final Map<String, List<Shape>> unused = new HashMap<>();
    private final Map<String, Integer> used = new HashMap<>();
    private final Set<String> outside = new HashSet<>();

    GuaranteeLedger(ClusterView view) {
        view.workspaces().forEach((name, w) -> unused.put(name, sorted(w)));
        List<PlacedJob> within = new ArrayList<>();
        for (PlacedJob p : view.placed().values()) {
            used.merge(p.spec().workspace(), p.spec().shape().accelerators(), Integer::sum);
            if (!p.borrowed()) {
                within.add(p);
            }
        }
        within.sort(Comparator.comparing((PlacedJob p) -> p.spec().shape(), BY_SIZE.reversed())
                .thenComparing(p -> p.spec().key()));
        for (PlacedJob p : within) {
            Optional<Shape> shape = smallestFit(p.spec().workspace(), p.spec().shape());
            if (shape.isPresent()) {
                take(p.spec().workspace(), shape.get());
            } else {
                outside.add(p.spec().key());
            }
        }
    }

    private static List<Shape> sorted(Workspace w) {
        List<Shape> shapes = new ArrayList<>(w.guarantees());
        shapes.sort(BY_SIZE);
        return shapes;
    }

    /** Returns the smallest unused guaranteed shape that holds a gang. */
    Optional<Shape> smallestFit(String workspace, Shape shape) {
        return unused.getOrDefault(workspace, List.of()).stream()
                .filter(shape::fitsInto)
                .findFirst();
    }

    /** Marks a guaranteed shape as used. */
    void take(String workspace, Shape shape) {
        unused.get(workspace).remove(shape);
    }

    /** Returns the guaranteed shapes of all workspaces that nobody uses, without one of the given workspace. */
    List<Shape> unusedBut(String workspace, Shape shape) {
        List<Shape> rest = new ArrayList<>();
        unused.values().forEach(rest::addAll);
        if (unused.getOrDefault(workspace, List.of()).contains(shape)) {
            rest.remove(shape);
        }
        return rest;
    }

    /** Returns keys of jobs that were placed within a guarantee which no longer covers them. */
    Set<String> outside() {
        return outside;
    }

    /** Returns the accelerators that a workspace holds. */
    int used(String workspace) {
        return used.getOrDefault(workspace, 0);
    }

    /** Adds to the accelerators that a workspace holds. */
    void use(String workspace, int accelerators) {
        used.merge(workspace, accelerators, Integer::sum);
    }
}
