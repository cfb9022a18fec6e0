package io.pollenreach.internal.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.pollenreach.ResultCode;
import io.pollenreach.Shape;
import io.pollenreach.internal.placement.ConsideredWorker.State;
import io.pollenreach.internal.wire.Part;

/**
 * Records what a round finds when it comes to one job, so that the decision can be explained.
 *
 * <p>Invariant: it never changes a decision. Confined to one round, so not safe for use by many threads.
 */
final class JobTurn {
    private final String job;
    private Shape shape;
    private List<State> workers = List.of();
    private boolean searched;
    private Decision decision;
    private Set<String> chosenWorkers = Set.of();
    private Set<String> chosenGroups = Set.of();

    private JobTurn(String job) {
        this.job = job;
    }

    /** Returns a recorder of the turn of one job. */
    static JobTurn of(String job) {
        return new JobTurn(job);
    }

    /** Returns a recorder that records nothing. */
    static JobTurn none() {
        return new JobTurn("");
    }

    /** Records the workers as they are now, if it is the job's turn. */
    void begin(WaitingJob j, List<WorkerState> states) {
        if (!j.spec().key().equals(job)) {
            return;
        }
        shape = j.spec().shape();
        workers = states.stream()
                .map(w -> new State(w.view(), w.isUsable(), w.isReservedForOther(job), w.free(), w.nonReclaimable()))
                .toList();
    }

    /** Records that workers are searched for the job, if it is its turn. */
    void search(WaitingJob j) {
        searched |= j.spec().key().equals(job);
    }

    /** Explains the decision about the job among those of the whole round. */
    PlacementPreview explain(List<Decision> decisions, Map<String, WorkerVerdict> closed) {
        List<Decision> before =
                decisions.stream().takeWhile(d -> !d.job().equals(job)).toList();
        if (before.size() == decisions.size()) {
            throw new IllegalArgumentException("job " + job + " is not in the queue");
        }
        decision = decisions.get(before.size());
        if (decision instanceof Decision.Place) {
            findChosen((Decision.Place) decision);
        }
        List<PlacementPreview.Worker> explained =
                workers.stream().map(w -> explain(w, closed)).toList();
        return new PlacementPreview(
                decision,
                (int) before.stream().filter(Decision.Place.class::isInstance).count(),
                (int) before.stream().filter(Decision.Wait.class::isInstance).count(),
                explained);
    }

    private PlacementPreview.Worker explain(State w, Map<String, WorkerVerdict> closed) {
        Optional<WorkerVerdict> why = Optional.ofNullable(closed.get(w.view().id()));
        return new PlacementPreview.Worker(
                w.view().id(),
                w.view().zone(),
                w.view().rack(),
                w.view().accelerators(),
                w.free(),
                WorkerVerdict.on(new ConsideredWorker(this, w, why)));
    }

    Shape shape() {
        return shape;
    }

    boolean places() {
        return decision instanceof Decision.Place;
    }

    /** Tells whether the decision depends on the workers. */
    boolean considersWorkers() {
        return searched
                || decision instanceof Decision.Refuse
                        && ((Decision.Refuse) decision).code() == ResultCode.NEVER_RUNNABLE;
    }

    Set<String> chosenWorkers() {
        return chosenWorkers;
    }

    /** Returns the groups of the shape's adjacency in which the job is placed. */
    Set<String> chosenGroups() {
        return chosenGroups;
    }

    private void findChosen(Decision.Place place) {
        chosenWorkers = place.parts().stream().map(Part::worker).collect(Collectors.toSet());
        chosenGroups = workers.stream()
                .map(State::view)
                .filter(w -> chosenWorkers.contains(w.id()))
                .map(w -> shape.adjacency().group(w.zone(), w.rack()))
                .collect(Collectors.toSet());
    }
}
