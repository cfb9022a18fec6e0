package io.pollenreach.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.pollenreach.Shape;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Part;

/**
 * One possible placement of all parts of a gang.
 *
 * <p>Invariant: the counts add up to the parts of the gang. The record itself is immutable; the worker states that it
 * refers to change during the round.
 *
 * @param counts how many parts go to each worker, in the order of ranks
 * @param victims borrowers that must stop first
 * @param lostWork cost of the work that is lost when the victims stop
 * @param level index of the adjacency level at which the gang is placed; lower is closer
 * @param idleWorkersUsed number of workers used that were completely free before
 * @param unusedOnWorkers accelerators that stay free on the workers used
 * @param groupFree accelerators that stay free in the whole group of workers
 */
record Candidate(
        Map<WorkerState, Integer> counts,
        Set<AttemptId> victims,
        double lostWork,
        int level,
        int idleWorkersUsed,
        int unusedOnWorkers,
        int groupFree) {
    /** Least lost work first, then the placement that fragments the free capacity least. */
    static final Comparator<Candidate> BEST_FIT = Comparator.comparingDouble(Candidate::lostWork)
            .thenComparingInt(Candidate::level)
            .thenComparingInt(Candidate::idleWorkersUsed)
            .thenComparingInt(Candidate::unusedOnWorkers)
            .thenComparingInt(Candidate::groupFree);

    /** Returns one part for each rank. */
    List<Part> parts(Shape shape) {
        List<Part> parts = new ArrayList<>(shape.parts());
        counts.forEach((w, n) -> {
            for (int i = 0; i < n; i++) {
                parts.add(new Part(parts.size(), w.view().id(), w.view().address(), shape.acceleratorsPerPart()));
            }
        });
        return parts;
    }
}
