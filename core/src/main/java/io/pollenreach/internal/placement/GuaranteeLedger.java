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
 * What is left of the guaranteed shapes of each workspace, and what each workspace uses.
 *
 * <p>Confined to one round, so not safe for use by many threads.
 */
final class GuaranteeLedger {
    private static final Comparator<PlacedJob> LARGEST_FIRST = Comparator.comparingInt(
                    (PlacedJob p) -> p.spec().shape().accelerators())
            .reversed()
            .thenComparing(p -> p.spec().key());

    private final Map<String, List<GuaranteeRoom>> rooms = new HashMap<>();
    private final Map<String, Integer> used = new HashMap<>();
    private final Set<String> outside = new HashSet<>();

    GuaranteeLedger(ClusterView view, boolean divisible) {
        view.workspaces()
                .forEach((name, w) -> rooms.put(
                        name,
                        w.guarantees().stream()
                                .map(s -> new GuaranteeRoom(s, divisible))
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
                enter(view, p, total);
            }
        }
    }

    /**
     * Enters a job that was placed within a guarantee. One that finds no room only because jobs are entered in another
     * order now than they came keeps its standing and uses up what is left, unless the workspace holds more than it is
     * guaranteed.
     */
    private void enter(ClusterView view, PlacedJob p, int total) {
        String workspace = p.spec().workspace();
        Optional<GuaranteeRoom> room = find(workspace, p.spec().shape());
        if (room.isPresent()) {
            room.get().take(p.spec().shape());
            return;
        }
        int guaranteed = view.workspaces().containsKey(workspace)
                ? view.workspaces().get(workspace).guaranteedAccelerators()
                : 0;
        if (total > guaranteed) {
            outside.add(p.spec().key());
            return;
        }
        int missing = p.spec().shape().accelerators();
        for (GuaranteeRoom r : rooms.get(workspace)) {
            missing -= r.drain(missing);
        }
    }

    /** Returns the smallest room of a workspace's guarantees that holds a gang. */
    Optional<GuaranteeRoom> find(String workspace, Shape shape) {
        return rooms.getOrDefault(workspace, List.of()).stream()
                .filter(r -> r.holds(shape))
                .min(Comparator.comparingInt(GuaranteeRoom::free));
    }

    /** Returns what all workspaces may still ask for. */
    List<Shape> rest() {
        List<Shape> rest = new ArrayList<>();
        rooms.values().forEach(list -> list.forEach(r -> rest.addAll(r.rest())));
        return rest;
    }

    /** Returns what all workspaces may still ask for once a gang has been put into one of the rooms. */
    List<Shape> restAfter(GuaranteeRoom room, Shape gang) {
        List<Shape> rest = new ArrayList<>();
        for (List<GuaranteeRoom> list : rooms.values()) {
            for (GuaranteeRoom r : list) {
                GuaranteeRoom after = r;
                if (r == room) {
                    after = r.copy();
                    after.take(gang);
                }
                rest.addAll(after.rest());
            }
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
