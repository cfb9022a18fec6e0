package io.pollenreach.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import io.pollenreach.Shape;
import io.pollenreach.Workspace;

/**
 * Places jobs in the order of arrival on the first workers with enough free capacity; the baseline of experiments.
 *
 * <p>The first job that does not fit blocks all later ones. No borrower is reclaimed. Immutable, so safe for use by
 * many threads.
 */
public final class BaselinePlacer implements Placer {
    @Override
    public List<Decision> decide(ClusterView view, List<WaitingJob> queue, long seed) {
        List<WorkerState> workers = new ArrayList<>();
        view.workers().forEach(w -> workers.add(new WorkerState(w, w.usable())));
        GuaranteeLedger ledger = new GuaranteeLedger(view, false);
        Victims none = new Victims(List.of(), ledger.outsideGuarantee(), false);
        GangFitter fitter = new GangFitter(workers, none, false);
        List<WaitingJob> order = new ArrayList<>(queue);
        order.sort(Comparator.comparingLong(WaitingJob::waitedMs).reversed().thenComparing(j -> j.spec()
                .key()));
        List<Decision> decisions = new ArrayList<>();
        boolean blocked = false;
        for (WaitingJob j : order) {
            Decision d = blocked
                    ? new Decision.Wait(j.spec().key(), "an earlier job is still waiting for free capacity")
                    : decide(view, fitter, ledger, j);
            blocked |= d instanceof Decision.Wait;
            decisions.add(d);
        }
        return decisions;
    }

    private static Decision decide(ClusterView view, GangFitter fitter, GuaranteeLedger ledger, WaitingJob j) {
        String key = j.spec().key();
        Shape shape = j.spec().shape();
        Workspace w = view.workspaces().get(j.spec().workspace());
        Optional<Decision> excluded = Feasibility.exclude(view, j);
        if (excluded.isPresent()) {
            return excluded.get();
        }
        if (ledger.used(w.name()) + shape.accelerators() > w.maxAccelerators()) {
            return new Decision.Wait(key, "workspace has reached its limit of accelerators");
        }
        Optional<Candidate> c = fitter.inFreeCapacity(key, shape).stream().findFirst();
        if (c.isEmpty()) {
            return new Decision.Wait(key, "no group of workers has enough free capacity");
        }
        c.get()
                .counts()
                .forEach((s, n) ->
                        s.allocate(n * shape.acceleratorsPerPart(), c.get().victims()));
        ledger.use(w.name(), shape.accelerators());
        Optional<GuaranteeCapacity> unusedGuarantee = ledger.find(w.name(), shape);
        unusedGuarantee.ifPresent(r -> r.allocate(shape));
        return new Decision.Place(key, c.get().parts(shape), List.of(), unusedGuarantee.isEmpty(), "first fit");
    }
}
