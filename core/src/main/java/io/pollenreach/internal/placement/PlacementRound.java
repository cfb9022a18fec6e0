package io.pollenreach.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.pollenreach.Shape;
import io.pollenreach.internal.wire.AttemptId;

/**
 * One round of decisions over one snapshot.
 *
 * <p>Invariants: no accelerator is allocated twice, a gang is placed with all its parts or not at all, only borrowers
 * become victims, and accelerators freed by victims are allocated only to jobs that list these victims. Confined to one
 * call, so not safe for use by many threads.
 */
final class PlacementRound {
    /** How many candidates are checked for one after which the unused guarantees still fit. */
    private static final int MAX_PACKING_TRIES = 4;

    private final ClusterView view;
    private final PlacementOptions options;
    private final List<WorkerState> workers = new ArrayList<>();
    private final GuaranteeLedger ledger;
    private final Victims victims;
    private final GangFitter fitter;
    private final JobTurn turn;
    private final List<Decision> decisions = new ArrayList<>();
    private boolean reserved;
    private boolean moved;

    PlacementRound(ClusterView view, PlacementOptions options, long seed, JobTurn turn) {
        this.view = view;
        this.options = options;
        this.turn = turn;
        this.ledger = new GuaranteeLedger(view, options.divisible());
        this.victims = new Victims(view.workers(), ledger.outsideGuarantee(), options.leastLostWork());
        Set<String> excludedWorkers = ExcludedWorkers.of(view.workers(), options.excludeAfterFailures());
        for (WorkerView w : view.workers()) {
            WorkerState s = new WorkerState(w, w.usable() && !excludedWorkers.contains(w.id()));
            s.addNonReclaimable(nonReclaimable(w));
            workers.add(s);
        }
        workers.sort(Comparator.comparingLong((WorkerState w) -> mix(w.view().id(), seed))
                .thenComparing(w -> w.view().id()));
        this.fitter = new GangFitter(workers, victims, options.bestFit());
    }

    private int nonReclaimable(WorkerView w) {
        return w.holdings().stream()
                .filter(h -> !victims.contains(h.id()))
                .mapToInt(Holding::accelerators)
                .sum();
    }

    private static long mix(String id, long seed) {
        long h = (id.hashCode() ^ seed) * 0x9E3779B97F4A7C15L;
        return h ^ (h >>> 32);
    }

    List<Decision> decide(List<WaitingJob> queue) {
        List<WaitingJob> runnable = queue.stream().filter(j -> !excluded(j)).collect(Collectors.toList());
        List<WaitingJob> others = new ArrayList<>();
        JobOrder first = order(runnable);
        for (Optional<WaitingJob> j = first.poll(); j.isPresent(); j = first.poll()) {
            Optional<GuaranteeCapacity> guarantee = guarantee(j.get());
            if (guarantee.isPresent()) {
                placeWithin(j.get(), guarantee.get());
            } else {
                others.add(j.get());
            }
        }
        JobOrder second = order(others);
        for (Optional<WaitingJob> j = second.poll(); j.isPresent(); j = second.poll()) {
            borrow(j.get());
        }
        return decisions;
    }

    private JobOrder order(List<WaitingJob> jobs) {
        return new JobOrder(jobs, view.workspaces(), ledger, options.fairShare());
    }

    private Optional<GuaranteeCapacity> guarantee(WaitingJob j) {
        return j.spec().urgency().reclaims()
                ? ledger.find(j.spec().workspace(), j.spec().shape())
                : Optional.empty();
    }

    private boolean excluded(WaitingJob j) {
        turn.begin(j, workers);
        Optional<Decision> decision = Feasibility.exclude(view, j);
        decision.ifPresent(decisions::add);
        return decision.isPresent();
    }

    private void addWait(WaitingJob j, String reason) {
        decisions.add(new Decision.Wait(j.spec().key(), reason));
    }

    private void placeWithin(WaitingJob j, GuaranteeCapacity guarantee) {
        String key = j.spec().key();
        Shape shape = j.spec().shape();
        turn.begin(j, workers);
        if (placedAsBorrower(j, guarantee)) {
            return;
        }
        Set<AttemptId> forced = ownBorrowersOverLimit(j);
        if (usedWithout(j, forced) + shape.accelerators() > limit(j)) {
            addWait(j, "workspace uses " + ledger.used(j.spec().workspace()) + " accelerators of " + limit(j));
            return;
        }
        turn.search(j);
        List<Candidate> found = forced.isEmpty() ? fitter.inFreeCapacity(key, shape) : List.of();
        Optional<Candidate> chosen = firstKeepingGuarantees(j, guarantee, found);
        if (chosen.isEmpty()) {
            List<Candidate> reclaiming = fitter.withReclaim(key, shape, forced);
            chosen = firstKeepingGuarantees(j, guarantee, reclaiming)
                    .or(() -> found.stream().findFirst())
                    .or(() -> reclaiming.stream().findFirst());
        }
        if (chosen.isEmpty()) {
            addWait(
                    j,
                    "guaranteed " + Feasibility.text(guarantee.shape()) + " but no group of usable workers can hold "
                            + Feasibility.text(shape));
            return;
        }
        guarantee.allocate(shape);
        place(j, chosen.get(), false, "within guarantee " + Feasibility.text(guarantee.shape()));
    }

    /**
     * Places a job of one part as a borrower, instead of using one part of a guarantee meant for a gang; returns
     * whether it was placed.
     */
    private boolean placedAsBorrower(WaitingJob j, GuaranteeCapacity guarantee) {
        Shape shape = j.spec().shape();
        String workspace = j.spec().workspace();
        boolean splitsGangGuarantee =
                options.spareGangs() && shape.parts() == 1 && guarantee.shape().parts() > 1;
        if (!splitsGangGuarantee || ledger.used(workspace) + shape.accelerators() > limit(j)) {
            return false;
        }
        turn.search(j);
        // The job can't be reclaimed in the round in which it starts, so all unused guarantees must still fit beside
        // it.
        List<Shape> rest = ledger.remainingShapes();
        Optional<Candidate> free = fitter.inFreeCapacity(j.spec().key(), shape).stream()
                .limit(MAX_PACKING_TRIES)
                .filter(c -> guaranteesFitAfter(c, shape, rest))
                .findFirst();
        free.ifPresent(c -> {
            place(j, c, true, "borrowed, to keep for gangs the guaranteed " + Feasibility.text(guarantee.shape()));
            c.counts().forEach((w, n) -> w.addNonReclaimable(n * shape.acceleratorsPerPart()));
        });
        return free.isPresent();
    }

    /** Returns the workspace's own borrowers that must stop so that it stays within its limit when the job starts. */
    private Set<AttemptId> ownBorrowersOverLimit(WaitingJob j) {
        String workspace = j.spec().workspace();
        int over = ledger.used(workspace) + j.spec().shape().accelerators() - limit(j);
        Set<AttemptId> forced = new LinkedHashSet<>();
        for (AttemptId id : victims.ofWorkspace(workspace)) {
            if (over <= 0) {
                break;
            }
            forced.add(id);
            over -= victims.accelerators(id);
        }
        return forced;
    }

    private int limit(WaitingJob j) {
        return view.workspaces().get(j.spec().workspace()).maxAccelerators();
    }

    private int usedWithout(WaitingJob j, Set<AttemptId> stopped) {
        int freed = stopped.stream().mapToInt(victims::accelerators).sum();
        return ledger.used(j.spec().workspace()) - freed;
    }

    private Optional<Candidate> firstKeepingGuarantees(
            WaitingJob j, GuaranteeCapacity guarantee, List<Candidate> found) {
        List<Shape> rest = ledger.remainingShapesAfter(guarantee, j.spec().shape());
        return found.stream()
                .limit(MAX_PACKING_TRIES)
                .filter(c -> guaranteesFitAfter(c, j.spec().shape(), rest))
                .findFirst();
    }

    private boolean guaranteesFitAfter(Candidate c, Shape shape, List<Shape> rest) {
        ShapePacking packing = new ShapePacking();
        for (WorkerState w : workers) {
            int taken = c.counts().getOrDefault(w, 0) * shape.acceleratorsPerPart();
            if (w.isUsableBy("")) {
                packing.add(w.view().zone(), w.view().rack(), w.view().accelerators() - w.nonReclaimable() - taken);
            }
        }
        return packing.pack(rest).isEmpty();
    }

    private void borrow(WaitingJob j) {
        Shape shape = j.spec().shape();
        String workspace = j.spec().workspace();
        turn.begin(j, workers);
        if (ledger.used(workspace) + shape.accelerators() > limit(j)) {
            addWait(j, "workspace uses " + ledger.used(workspace) + " accelerators of " + limit(j));
            return;
        }
        turn.search(j);
        Optional<Candidate> chosen =
                fitter.inFreeCapacity(j.spec().key(), shape).stream().findFirst();
        if (chosen.isPresent()) {
            place(j, chosen.get(), true, "borrowed");
            return;
        }
        Optional<Candidate> moved = relocatingBorrowers(j);
        if (moved.isPresent()) {
            place(j, moved.get(), true, "borrowed, relocating other borrowers");
            return;
        }
        boolean reserve = !reserved && options.reserveAfterMs() > 0 && j.waitedMs() >= options.reserveAfterMs();
        if (reserve) {
            reserved = true;
            fitter.reserve(j.spec().key(), shape);
        }
        addWait(
                j,
                "no group of workers has free capacity for " + Feasibility.text(shape)
                        + (reserve ? "; workers reserved" : ""));
    }

    /**
     * Finds a placement for a gang by stopping borrowers that can all restart elsewhere at once. Requires that the
     * gang's waiting time, in accelerator milliseconds, is at least the work lost by stopping them.
     */
    private Optional<Candidate> relocatingBorrowers(WaitingJob j) {
        Shape shape = j.spec().shape();
        int free = workers.stream()
                .filter(w -> w.isUsableBy(""))
                .mapToInt(WorkerState::free)
                .sum();
        boolean ineligible = options.moveAfterMs() <= 0 || j.waitedMs() < options.moveAfterMs() || shape.parts() < 2;
        if (ineligible || moved || free < shape.accelerators()) {
            return Optional.empty();
        }
        double waitingCost = (double) j.waitedMs() * shape.accelerators();
        Optional<Candidate> found = fitter.withReclaim(j.spec().key(), shape, Set.of()).stream()
                .filter(c -> c.lostWork() <= waitingCost && restartElsewhere(c, shape))
                .findFirst();
        moved = found.isPresent();
        return found;
    }

    private boolean restartElsewhere(Candidate c, Shape shape) {
        ShapePacking packing = new ShapePacking();
        for (WorkerState w : workers) {
            if (w.isUsableBy("")) {
                int taken = c.counts().getOrDefault(w, 0) * shape.acceleratorsPerPart();
                packing.add(w.view().zone(), w.view().rack(), w.freeWithout(c.victims()) - taken);
            }
        }
        List<Shape> shapes = new ArrayList<>();
        for (AttemptId id : c.victims()) {
            PlacedJob p = view.placed().get(id.job());
            if (p == null || !p.spec().restartable()) {
                return false;
            }
            shapes.add(p.spec().shape());
        }
        return packing.pack(shapes).isEmpty();
    }

    private void place(WaitingJob j, Candidate c, boolean borrowed, String reason) {
        Shape shape = j.spec().shape();
        for (AttemptId id : c.victims()) {
            if (victims.stop(id)) {
                ledger.use(victims.workspace(id), -victims.accelerators(id));
            }
        }
        c.counts().forEach((w, n) -> {
            int accelerators = n * shape.acceleratorsPerPart();
            w.allocate(accelerators, c.victims());
            if (!borrowed) {
                w.addNonReclaimable(accelerators);
            }
        });
        ledger.use(j.spec().workspace(), shape.accelerators());
        List<AttemptId> stopped = c.victims().stream()
                .sorted(Comparator.comparing(AttemptId::job))
                .collect(Collectors.toList());
        String why =
                reason + (stopped.isEmpty() ? " in free capacity" : " after stopping borrowers: " + stopped.size());
        decisions.add(new Decision.Place(j.spec().key(), c.parts(shape), stopped, borrowed, why));
    }
}
