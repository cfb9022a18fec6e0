package io.pollenreach.internal.placement;

import java.util.List;
import java.util.Map;

import io.pollenreach.Workspace;

/**
 * A snapshot of the workers, workspaces and placed jobs that one placement round decides on.
 *
 * <p>Immutable.
 *
 * @param workers all known workers
 * @param workspaces the workspaces in force, by name
 * @param placed the jobs that hold accelerators, by key
 */
public record ClusterView(List<WorkerView> workers, Map<String, Workspace> workspaces, Map<String, PlacedJob> placed) {
    public ClusterView {
        workers = List.copyOf(workers);
        workspaces = Map.copyOf(workspaces);
        placed = Map.copyOf(placed);
    }
}
