package io.pollenreach.internal.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import io.pollenreach.Shape;
import io.pollenreach.Workspace;

/**
 * Checks that the guarantees of all workspaces fit on the known workers at the same time.
 *
 * <p>Stateless, so safe for use by many threads.
 */
public final class GuaranteeCheck {
    private GuaranteeCheck() {}

    /**
     * Packs the guarantees of all workspaces onto the workers.
     *
     * @param workers all known workers; accelerators in use count as free
     * @param workspaces the workspaces that are to be in force together
     * @return the first guarantee that does not fit; empty when all fit
     */
    public static Optional<Unmet> firstUnmet(List<WorkerView> workers, Collection<Workspace> workspaces) {
        ShapePacking packing = new ShapePacking();
        workers.forEach(w -> packing.add(w.zone(), w.rack(), w.accelerators()));
        List<Unmet> all = new ArrayList<>();
        workspaces.forEach(w -> w.guarantees().forEach(s -> all.add(new Unmet(w.name(), s))));
        all.sort(Comparator.comparing(Unmet::shape, ShapePacking.HARDEST_FIRST).thenComparing(Unmet::workspace));
        return all.stream().filter(u -> !packing.place(u.shape())).findFirst();
    }

    /**
     * A guaranteed shape that does not fit together with the others.
     *
     * @param workspace the name of its workspace
     * @param shape the shape
     */
    public record Unmet(String workspace, Shape shape) {}
}
