package io.pollenreach.daemon.internal.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.PartReport;
import io.pollenreach.internal.wire.WorkerParts;

/**
 * The parts that each worker last reported.
 *
 * <p>Invariant: a worker's entry is only replaced by a newer one. Safe for use by many threads; its lock is a leaf.
 */
final class PartTable {
    private final Map<String, Entry> workers = new HashMap<>();
    private long changes;

    private record Entry(WorkerParts parts, long change) {}

    /** Takes over a whole list when it is newer; true when it was. */
    synchronized boolean offer(WorkerParts parts) {
        Entry old = workers.get(parts.worker());
        if (old != null && !parts.newerThan(old.parts())) {
            return false;
        }
        changes++;
        workers.put(parts.worker(), new Entry(parts, changes));
        return true;
    }

    /** Merges changed parts into what is known of the worker; false when the worker's whole list is not known. */
    synchronized boolean merge(WorkerParts changed, List<AttemptId> forgotten) {
        Entry old = workers.get(changed.worker());
        if (old == null || old.parts().incarnation() != changed.incarnation()) {
            return false;
        }
        if (changed.parts().isEmpty() && forgotten.isEmpty()) {
            return true;
        }
        Map<String, PartReport> all = new LinkedHashMap<>();
        old.parts().parts().forEach(p -> all.put(key(p), p));
        changed.parts().forEach(p -> all.put(key(p), p));
        all.values().removeIf(p -> forgotten.contains(p.id()));
        return offer(new WorkerParts(
                changed.worker(), changed.incarnation(), changed.sequence(), new ArrayList<>(all.values())));
    }

    synchronized Optional<WorkerParts> get(String worker) {
        return Optional.ofNullable(workers.get(worker)).map(Entry::parts);
    }

    /** Returns the number of the newest change. */
    synchronized long changes() {
        return changes;
    }

    /** Returns the workers' lists that changed after a number. */
    synchronized List<WorkerParts> changedSince(long number) {
        return workers.values().stream()
                .filter(e -> e.change() > number)
                .map(Entry::parts)
                .toList();
    }

    private static String key(PartReport p) {
        return p.id().job() + "#" + p.id().attempt() + "#" + p.rank();
    }
}
