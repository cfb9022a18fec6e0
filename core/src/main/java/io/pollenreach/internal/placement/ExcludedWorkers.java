package io.pollenreach.internal.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Selects the workers that get no new parts because too many of their starts failed recently.
 *
 * <p>At most half of the usable workers are excluded: when more of them fail, the cause is not the workers. Stateless,
 * so safe for use by many threads.
 */
final class ExcludedWorkers {
    private ExcludedWorkers() {}

    static Set<String> of(List<WorkerView> workers, int failures) {
        if (failures <= 0) {
            return Set.of();
        }
        long usable = workers.stream().filter(WorkerView::usable).count();
        return workers.stream()
                .filter(w -> w.usable() && w.recentFailures() >= failures)
                .sorted(Comparator.comparingInt(WorkerView::recentFailures)
                        .reversed()
                        .thenComparing(WorkerView::id))
                .limit(usable / 2)
                .map(WorkerView::id)
                .collect(Collectors.toSet());
    }
}
