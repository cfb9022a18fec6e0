package io.pollenreach.internal.placement;

import java.util.Optional;

import io.pollenreach.Adjacency;
import io.pollenreach.Shape;

/**
 * One worker as a round found it when it came to a job.
 *
 * <p>Immutable as long as the turn is.
 *
 * @param turn the job's turn
 * @param state the worker's state before the job was decided
 * @param closed why the worker takes no new parts, as the caller knows it
 */
record ConsideredWorker(JobTurn turn, State state, Optional<WorkerVerdict> closed) {
    /**
     * The state of a worker at one point of a round. Immutable.
     *
     * @param view the worker
     * @param usable whether it accepts new parts
     * @param reserved whether it is reserved for another job
     * @param free the accelerators that nobody holds
     * @param nonReclaimable the accelerators held by jobs that may not be stopped
     */
    record State(WorkerView view, boolean usable, boolean reserved, int free, int nonReclaimable) {}

    boolean isChosen() {
        return turn.chosenWorkers().contains(state.view().id());
    }

    boolean isClosedBy(WorkerVerdict v) {
        return closed.filter(v::equals).isPresent();
    }

    int acceleratorsPerPart() {
        return turn.shape().acceleratorsPerPart();
    }

    boolean hasFreeCapacity() {
        return state.free() >= acceleratorsPerPart();
    }

    /** Tells whether the gang must stay within such a group, and is placed in another one than the worker's. */
    boolean isApart(Adjacency adjacency) {
        Shape shape = turn.shape();
        String group = adjacency.group(state.view().zone(), state.view().rack());
        return shape.adjacency() == adjacency && !turn.chosenGroups().contains(group);
    }
}
