package io.pollenreach.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.pollenreach.Shape;

/**
 * Tracks the unused part of each workspace's guaranteed shapes and the accelerators that each workspace uses.
 *
 * <p>Confined to one round, so not safe for use by many threads.
 */
final class GuaranteeLedger {
    private static final Comparator<PlacedJob> LARGEST_FIRST = Comparator.comparingInt(
                    (PlacedJob p) -> p.spec().shape().accelerators())
            .reversed()
            .thenComparing(p -> p.spec().key());

    private final Map<String, List<GuaranteeCapacity>> guarantees = new HashMap<>();
    private final Map<String, Integer> used = new HashMap<>();
    private final Set<String> outsideGuarantee = new HashSet<>();

    GuaranteeLedger(ClusterView view, boolean divisible) {
        view.workspaces()
                .forEach((name, w) -> guarantees.put(
                        name,
                        w.guarantees().stream()
                                .map(s -> new GuaranteeCapacity(s, divisible))
                                .collect(Collectors.toList())));
        Map<String, Integer> within = new HashMap<>();
        List<PlacedJob> order = new ArrayList<>(view.placed().values());
        order.sort(LARGEST_FIRST);
        for (PlacedJob p : order) {
            String workspace = p.spec().workspace();
            int accelerators = p.spec().shape().accelerators();
            used.merge(workspace, accelerators, Integer::sum);
            if (!p.borrowed()) {
                int total = within.merge(workspace, accelerators, Integer::sum);
                allocateToPlaced(view, p, total);
            }
        }
    }

    /**
     * Allocates a job that was placed within a guarantee. Jobs are allocated here in another order than they arrived,
     * so one may no longer fit any guaranteed shape. It then still counts as guaranteed and uses any remaining parts,
     * unless the workspace's guaranteed jobs hold more than the workspace is guaranteed.
     */
    private void allocateToPlaced(ClusterView view, PlacedJob p, int total) {
        String workspace = p.spec().workspace();
        Optional<GuaranteeCapacity> capacity = find(workspace, p.spec().shape());
        if (capacity.isPresent()) {
            capacity.get().allocate(p.spec().shape());
            return;
        }
        int guaranteed = view.workspaces().containsKey(workspace)
                ? view.workspaces().get(workspace).guaranteedAccelerators()
                : 0;
        if (total > guaranteed) {
            outsideGuarantee.add(p.spec().key());
            return;
        }
        int missing = p.spec().shape().accelerators();
        for (GuaranteeCapacity r : guarantees.get(workspace)) {
            missing -= r.allocateAnyParts(missing);
        }
    }

    /** Returns the guarantee of a workspace with the least unused capacity that still fits the gang. */
    Optional<GuaranteeCapacity> find(String workspace, Shape shape) {
        return guarantees.getOrDefault(workspace, List.of()).stream()
                .filter(r -> r.fits(shape))
                .min(Comparator.comparingInt(GuaranteeCapacity::free));
    }

    /** Returns the unused shapes of all guarantees. */
    List<Shape> remainingShapes() {
        List<Shape> rest = new ArrayList<>();
        guarantees.values().forEach(list -> list.forEach(r -> rest.addAll(r.remainingShapes())));
        return rest;
    }

    /** Returns the unused shapes of all guarantees as they would be after allocating a gang in one of them. */
    List<Shape> remainingShapesAfter(GuaranteeCapacity capacity, Shape gang) {
        List<Shape> rest = new ArrayList<>();
        for (List<GuaranteeCapacity> list : guarantees.values()) {
            for (GuaranteeCapacity r : list) {
                GuaranteeCapacity after = r;
                if (r == capacity) {
                    after = r.copy();
                    after.allocate(gang);
                }
                rest.addAll(after.remainingShapes());
            }
        }
        return rest;
    }

    /** Returns the keys of jobs that were placed within a guarantee that no longer covers them. */
    Set<String> outsideGuarantee() {
        return outsideGuarantee;
    }

    /** Returns the accelerators that a workspace holds. */
    int used(String workspace) {
        return used.getOrDefault(workspace, 0);
    }

    /** Adds to the accelerators that a workspace holds; a negative number releases them. */
    void use(String workspace, int accelerators) {
        used.merge(workspace, accelerators, Integer::sum);
    }
}
