package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * The free capacity of a set of workers during one placement pass.
 *
 * <p>Placements and claims reduce it. Not thread-safe.
 */
final class FreeCapacity {
    /** A task and the worker chosen for it. Immutable. */
    record Assignment(TaskProgress task, WorkerAllocations worker) {}

    private final Map<WorkerAllocations, Resources> free = new HashMap<>();
    private long workersExamined;

    FreeCapacity(Collection<WorkerAllocations> workers, Function<WorkerAllocations, Resources> size) {
        workers.forEach(w -> free.put(w, size.apply(w)));
    }

    /** Returns how many workers all searches so far have examined, a measure of their cost. */
    long workersExamined() {
        return workersExamined;
    }

    Resources of(WorkerAllocations worker) {
        return free.get(worker);
    }

    void allocate(WorkerAllocations worker, Resources need) {
        free.computeIfPresent(worker, (w, f) -> f.minus(need));
    }

    /** Finds workers for all tasks, at equal cost for each worker. */
    Optional<List<Assignment>> fit(
            List<TaskProgress> tasks, StepSpec spec, Collection<WorkerAllocations> workers, boolean oneRack) {
        return fit(tasks, spec, workers, oneRack, w -> 0);
    }

    void allocate(List<Assignment> assignments, Resources need) {
        assignments.forEach(a -> allocate(a.worker(), need));
    }

    /**
     * Finds workers for all tasks, or for none.
     *
     * @param tasks the tasks to place, all of one step
     * @param spec the step
     * @param workers the workers that may be used
     * @param oneRack whether all tasks must be placed on one rack
     * @param cost the cost of using a worker; workers of lower cost are filled first
     * @return one assignment for each task, in the group of workers whose most expensive one costs least and, at
     *     equal cost, that keeps the least free capacity; empty if not all tasks fit
     */
    Optional<List<Assignment>> fit(
            List<TaskProgress> tasks,
            StepSpec spec,
            Collection<WorkerAllocations> workers,
            boolean oneRack,
            ToDoubleFunction<WorkerAllocations> cost) {
        // A single task is always on one rack.
        return groups(workers, oneRack && tasks.size() > 1).stream()
                .map(g -> fill(tasks, spec, g, cost))
                .flatMap(Optional::stream)
                .min(Comparator.<List<Assignment>>comparingDouble(a -> highestCost(a, cost))
                        .thenComparingDouble(a -> slack(a, spec)));
    }

    static Collection<List<WorkerAllocations>> groups(Collection<WorkerAllocations> workers, boolean oneRack) {
        if (!oneRack) {
            return List.of(List.copyOf(workers));
        }
        return workers.stream()
                .collect(Collectors.groupingBy(w -> w.report().rack()))
                .values();
    }

    /** A worker that can take tasks of a step, with what decides its turn, computed once. Immutable. */
    private record Candidate(WorkerAllocations worker, int slots, int failures, double cost, double leftover) {
        static final Comparator<Candidate> ORDER = Comparator.comparingInt(Candidate::failures)
                .thenComparingDouble(Candidate::cost)
                .thenComparing(Candidate::isCold)
                .thenComparingDouble(Candidate::leftover)
                .thenComparing(c -> c.worker().name());

        /** Tells whether the worker is still slow after its start. */
        boolean isCold() {
            return worker.report().outlook().coldMs() > 0;
        }
    }

    private Optional<List<Assignment>> fill(
            List<TaskProgress> tasks,
            StepSpec spec,
            List<WorkerAllocations> group,
            ToDoubleFunction<WorkerAllocations> cost) {
        List<Candidate> candidates = candidates(tasks, spec, group, cost);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (tasks.size() == 1) {
            Candidate best = Collections.min(candidates, Candidate.ORDER);
            return Optional.of(List.of(new Assignment(tasks.get(0), best.worker())));
        }
        candidates.sort(Candidate.ORDER);
        List<Assignment> chosen = new ArrayList<>();
        for (Candidate c : candidates) {
            int slots = Math.min(c.slots(), tasks.size() - chosen.size());
            for (int i = 0; i < slots; i++) {
                chosen.add(new Assignment(tasks.get(chosen.size()), c.worker()));
            }
        }
        return Optional.of(chosen);
    }

    /** Returns the workers with free slots; none if their slots together are too few for the tasks. */
    private List<Candidate> candidates(
            List<TaskProgress> tasks,
            StepSpec spec,
            List<WorkerAllocations> group,
            ToDoubleFunction<WorkerAllocations> cost) {
        workersExamined += group.size();
        Resources need = spec.occupied();
        Map<WorkerAllocations, Integer> slotsByWorker = new LinkedHashMap<>();
        long total = 0;
        for (WorkerAllocations w : group) {
            int slots = slots(w, need, spec, tasks.get(0).id());
            if (slots > 0) {
                slotsByWorker.put(w, slots);
                total += slots;
            }
        }
        List<Candidate> found = new ArrayList<>();
        if (total >= tasks.size()) {
            slotsByWorker.forEach((w, slots) -> found.add(
                    new Candidate(w, slots, failureCount(w, tasks), cost.applyAsDouble(w), leftover(w, need))));
        }
        return found;
    }

    private int slots(WorkerAllocations w, Resources need, StepSpec spec, TaskId any) {
        Resources available = free.get(w);
        // A gang makes progress only once all its members have started.
        long n = spec.gang() ? w.freeRuns() : w.freeStarts();
        n = Math.min(n, quotient(available.milliCpu(), need.milliCpu()));
        n = Math.min(n, quotient(available.memoryMb(), need.memoryMb()));
        n = Math.min(n, quotient(available.accelerators(), need.accelerators()));
        if (spec.maxPerWorker() > 0) {
            n = Math.min(n, spec.maxPerWorker() - w.countOfStep(any));
        }
        return (int) Math.max(0, n);
    }

    private static long quotient(long available, long need) {
        return need <= 0 ? Integer.MAX_VALUE : Math.max(0, available / need);
    }

    private static int failureCount(WorkerAllocations w, List<TaskProgress> tasks) {
        for (TaskProgress t : tasks) {
            if (t.failedOn().equals(w.name())) {
                return w.health().failures() + 1;
            }
        }
        return w.health().failures();
    }

    private double leftover(WorkerAllocations w, Resources need) {
        return fraction(free.get(w).minus(need), w.report().capacity());
    }

    private static double highestCost(List<Assignment> assignments, ToDoubleFunction<WorkerAllocations> cost) {
        return assignments.stream()
                .map(Assignment::worker)
                .distinct()
                .mapToDouble(cost)
                .max()
                .orElse(0);
    }

    private double slack(List<Assignment> assignments, StepSpec spec) {
        return assignments.stream()
                .map(Assignment::worker)
                .distinct()
                .mapToDouble(w -> leftover(w, spec.occupied()))
                .sum();
    }

    private static double fraction(Resources part, Resources whole) {
        return ratio(part.milliCpu(), whole.milliCpu())
                + ratio(part.memoryMb(), whole.memoryMb())
                + ratio(part.accelerators(), whole.accelerators());
    }

    private static double ratio(long part, long whole) {
        return whole <= 0 ? 0 : (double) part / whole;
    }
}
