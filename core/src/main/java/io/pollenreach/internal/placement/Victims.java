package io.pollenreach.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.pollenreach.internal.wire.AttemptId;

/**
 * The borrowers that may be stopped, and the cost of stopping each.
 *
 * <p>The cost is 0 for a job that this round stops already. Confined to one round, so not safe for use by many
 * threads.
 */
final class Victims {
    /** Cost of a restart in addition to the unsaved work, in milliseconds per accelerator. */
    private static final double RESTART_COST_MS = 1_000;
    /** Added for a job that is not restartable, so that it is stopped only when no other borrowers suffice. */
    private static final double NOT_RESTARTABLE_COST = 1e12;

    private final Map<AttemptId, Double> costs = new HashMap<>();
    private final Map<AttemptId, Integer> accelerators = new HashMap<>();
    private final Map<AttemptId, String> workspaces = new HashMap<>();
    private final Set<AttemptId> stopping = new HashSet<>();

    Victims(List<WorkerView> workers, Set<String> outsideGuarantee, boolean byLostWork) {
        for (WorkerView w : workers) {
            for (Holding h : w.holdings()) {
                if (h.borrowed() || outsideGuarantee.contains(h.id().job())) {
                    add(h, byLostWork);
                }
            }
        }
    }

    private void add(Holding h, boolean byLostWork) {
        double lost = byLostWork ? (h.unsavedMs() + RESTART_COST_MS) * h.accelerators() : h.accelerators();
        double extra = h.restartable() || costs.containsKey(h.id()) ? 0 : NOT_RESTARTABLE_COST;
        costs.merge(h.id(), lost + extra, Double::sum);
        accelerators.merge(h.id(), h.accelerators(), Integer::sum);
        workspaces.put(h.id(), h.workspace());
    }

    /** Returns the victims of one workspace, least lost work first. */
    List<AttemptId> ofWorkspace(String workspace) {
        List<AttemptId> ids = new ArrayList<>();
        workspaces.forEach((id, w) -> {
            if (w.equals(workspace) && !stopping.contains(id)) {
                ids.add(id);
            }
        });
        ids.sort(Comparator.comparingDouble(this::cost).thenComparing(AttemptId::job));
        return ids;
    }

    boolean contains(AttemptId id) {
        return costs.containsKey(id);
    }

    double cost(AttemptId id) {
        return stopping.contains(id) ? 0 : costs.getOrDefault(id, 0.0);
    }

    int accelerators(AttemptId id) {
        return accelerators.getOrDefault(id, 0);
    }

    String workspace(AttemptId id) {
        return workspaces.getOrDefault(id, "");
    }

    /** Marks a job as one that must stop; returns whether that is new. */
    boolean stop(AttemptId id) {
        return stopping.add(id);
    }

    /**
     * Finds the cheapest jobs to stop so that a worker has enough free accelerators.
     *
     * @param w the worker
     * @param chosen jobs that are already chosen to stop
     * @param missing accelerators still missing after the chosen jobs have stopped
     */
    Optional<List<AttemptId>> choose(WorkerState w, Set<AttemptId> chosen, int missing) {
        List<WorkerState.HoldingState> able = new ArrayList<>();
        for (WorkerState.HoldingState h : w.held()) {
            AttemptId id = h.holding().id();
            if (h.unallocated() > 0 && costs.containsKey(id) && !chosen.contains(id)) {
                able.add(h);
            }
        }
        able.sort(Comparator.comparingDouble(
                        (WorkerState.HoldingState h) -> cost(h.holding().id()))
                .thenComparing(h -> h.holding().id().job()));
        List<WorkerState.HoldingState> picked = new ArrayList<>();
        int freed = 0;
        for (WorkerState.HoldingState h : able) {
            if (freed >= missing) {
                break;
            }
            picked.add(h);
            freed += h.unallocated();
        }
        if (freed < missing) {
            return Optional.empty();
        }
        return Optional.of(removeUnneeded(picked, freed - missing));
    }

    private static List<AttemptId> removeUnneeded(List<WorkerState.HoldingState> picked, int spare) {
        int rest = spare;
        Set<AttemptId> ids = new HashSet<>();
        List<AttemptId> kept = new ArrayList<>();
        for (int i = picked.size() - 1; i >= 0; i--) {
            WorkerState.HoldingState h = picked.get(i);
            if (h.unallocated() <= rest) {
                rest -= h.unallocated();
            } else if (ids.add(h.holding().id())) {
                kept.add(h.holding().id());
            }
        }
        return kept;
    }
}
