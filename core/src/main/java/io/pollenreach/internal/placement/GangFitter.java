package io.pollenreach.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.pollenreach.Adjacency;
import io.pollenreach.Shape;
import io.pollenreach.internal.wire.AttemptId;

/**
 * Finds the groups of workers on which all parts of a gang fit.
 *
 * <p>A gang is placed greedily within one group of workers. Groups that are closer than the shape requires are tried as
 * well when best fit is on.
 * Confined to one round, so not safe for use by many threads.
 */
final class GangFitter {
    private final List<Map<String, List<WorkerState>>> levels = new ArrayList<>();
    private final Victims victims;
    private final boolean bestFit;

    GangFitter(List<WorkerState> workers, Victims victims, boolean bestFit) {
        this.victims = victims;
        this.bestFit = bestFit;
        for (Adjacency a : Adjacency.values()) {
            Map<String, List<WorkerState>> groups = new LinkedHashMap<>();
            for (WorkerState w : workers) {
                String key = a.group(w.view().zone(), w.view().rack());
                groups.computeIfAbsent(key, k -> new ArrayList<>()).add(w);
            }
            levels.add(groups);
        }
    }

    /** Returns the placements that need only free capacity, the best first if best fit is on. */
    List<Candidate> inFreeCapacity(String job, Shape shape) {
        return search(shape, (group, level) -> fitFree(job, shape, group, level));
    }

    /** Returns the placements that may stop borrowers, least lost work first if best fit is on. Every one includes the
     * forced victims. */
    List<Candidate> withReclaim(String job, Shape shape, Set<AttemptId> forced) {
        return search(shape, (group, level) -> fitReclaiming(job, shape, group, level, forced));
    }

    /**
     * Reserves workers for a waiting job: in the group with the most free accelerators, and no more than are needed.
     */
    void reserve(String job, Shape shape) {
        levels.get(shape.adjacency().ordinal()).values().stream()
                .filter(g -> capacity(g, job, shape) >= shape.parts())
                .max(Comparator.comparingInt(g -> g.stream()
                        .filter(w -> w.isUsableBy(job))
                        .mapToInt(WorkerState::free)
                        .sum()))
                .ifPresent(g -> reserveIn(g, job, shape));
    }

    private static void reserveIn(List<WorkerState> group, String job, Shape shape) {
        List<WorkerState> order = new ArrayList<>(group);
        order.sort(Comparator.comparingInt(WorkerState::free).reversed());
        int missing = shape.parts();
        for (WorkerState w : order) {
            if (missing > 0 && w.isUsableBy(job)) {
                w.reserve(job);
                missing -= w.view().accelerators() / shape.acceleratorsPerPart();
            }
        }
    }

    private static int capacity(List<WorkerState> group, String job, Shape shape) {
        return group.stream()
                .filter(w -> w.isUsableBy(job))
                .mapToInt(w -> w.view().accelerators() / shape.acceleratorsPerPart())
                .sum();
    }

    private List<Candidate> search(Shape shape, Search search) {
        List<Candidate> found = new ArrayList<>();
        int first = bestFit ? 0 : shape.adjacency().ordinal();
        for (int level = first; level <= shape.adjacency().ordinal(); level++) {
            for (List<WorkerState> group : levels.get(level).values()) {
                search.fit(group, level).ifPresent(found::add);
            }
        }
        if (bestFit) {
            found.sort(Candidate.BEST_FIT);
        }
        return found;
    }

    private Optional<Candidate> fitFree(String job, Shape shape, List<WorkerState> group, int level) {
        int per = shape.acceleratorsPerPart();
        List<WorkerState> able = new ArrayList<>();
        int free = 0;
        for (WorkerState w : group) {
            if (w.isUsableBy(job)) {
                free += w.free();
                if (w.free() >= per) {
                    able.add(w);
                }
            }
        }
        if (free < shape.accelerators()) {
            return Optional.empty();
        }
        if (bestFit) {
            able.sort(Comparator.comparingInt(WorkerState::free));
        }
        Map<WorkerState, Integer> counts = new LinkedHashMap<>();
        int missing = shape.parts();
        for (WorkerState w : able) {
            int n = Math.min(missing, w.free() / per);
            if (n > 0) {
                counts.put(w, n);
                missing -= n;
            }
        }
        if (missing > 0) {
            return Optional.empty();
        }
        return Optional.of(candidate(shape, counts, Set.of(), 0, level, free));
    }

    private Optional<Candidate> fitReclaiming(
            String job, Shape shape, List<WorkerState> group, int level, Set<AttemptId> forced) {
        Set<AttemptId> chosen = new LinkedHashSet<>(forced);
        Map<WorkerState, Integer> counts = new LinkedHashMap<>();
        double lost = forced.stream().mapToDouble(victims::cost).sum();
        for (int i = 0; i < shape.parts(); i++) {
            Step best = null;
            for (WorkerState w : group) {
                Step step = w.isUsableBy(job) ? step(w, shape, counts.getOrDefault(w, 0), chosen) : null;
                if (step != null && (best == null || Step.CHEAPEST.compare(step, best) < 0)) {
                    best = step;
                }
            }
            if (best == null) {
                return Optional.empty();
            }
            counts.merge(best.worker, 1, Integer::sum);
            chosen.addAll(best.stop);
            lost += best.cost;
        }
        int free = group.stream().mapToInt(WorkerState::free).sum();
        return Optional.of(candidate(shape, counts, chosen, lost, level, free));
    }

    /** Returns the cheapest way to put one more part on a worker, or null if there is none. */
    private Step step(WorkerState w, Shape shape, int already, Set<AttemptId> chosen) {
        int available = w.freeWithout(chosen) - already * shape.acceleratorsPerPart();
        int missing = shape.acceleratorsPerPart() - available;
        if (missing <= 0) {
            return new Step(w, List.of(), 0, -missing);
        }
        return victims.choose(w, chosen, missing)
                .map(ids ->
                        new Step(w, ids, ids.stream().mapToDouble(victims::cost).sum(), 0))
                .orElse(null);
    }

    private static Candidate candidate(
            Shape shape, Map<WorkerState, Integer> counts, Set<AttemptId> stop, double lost, int level, int free) {
        int idleWorkersUsed = 0;
        int unusedOnWorkers = 0;
        for (Map.Entry<WorkerState, Integer> e : counts.entrySet()) {
            idleWorkersUsed += e.getKey().isIdle() ? 1 : 0;
            unusedOnWorkers += e.getKey().freeWithout(stop) - e.getValue() * shape.acceleratorsPerPart();
        }
        return new Candidate(
                counts, Set.copyOf(stop), lost, level, idleWorkersUsed, unusedOnWorkers, free - shape.accelerators());
    }

    private interface Search {
        Optional<Candidate> fit(List<WorkerState> group, int level);
    }

    /**
     * One more part on a worker: the jobs to stop for it, the cost of stopping them, and the accelerators left free.
     */
    private record Step(WorkerState worker, List<AttemptId> stop, double cost, int spare) {
        static final Comparator<Step> CHEAPEST =
                Comparator.comparingDouble(Step::cost).thenComparingInt(Step::spare);
    }
}
