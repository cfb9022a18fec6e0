package io.pollenreach.internal.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Picks the workers that fail what they start.
 *
 * <p>At most half of the usable workers are set aside: when more of them fail, the cause lies elsewhere. Stateless, so
 * safe for use by many threads.
 */
final class SetAside {
    private SetAside() {}

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
