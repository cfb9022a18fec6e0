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
 * One way to place a whole gang.
 *
 * <p>Invariant: the counts add up to the parts of the gang. Immutable as far as the round's state is.
 *
 * @param counts how many parts go to each worker, in the order of ranks
 * @param victims borrowers that must stop first
 * @param lostWork what stopping the victims loses
 * @param level how close together the gang is placed; lower is closer
 * @param brokenWorkers workers that were wholly free before
 * @param waste accelerators left over on the workers that are used
 * @param groupFree accelerators left over in the group
 */
record Candidate(
        Map<WorkerState, Integer> counts,
        Set<AttemptId> victims,
        double lostWork,
        int level,
        int brokenWorkers,
        int waste,
        int groupFree) {
    /** Least lost work first, then the place that breaks up the least free room. */
    static final Comparator<Candidate> BEST_FIT = Comparator.comparingDouble(Candidate::lostWork)
            .thenComparingInt(Candidate::level)
            .thenComparingInt(Candidate::brokenWorkers)
            .thenComparingInt(Candidate::waste)
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
