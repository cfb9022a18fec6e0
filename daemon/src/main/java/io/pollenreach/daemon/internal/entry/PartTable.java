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
 * The parts that each worker reported last.
 *
 * <p>Invariant: the parts of a worker are only replaced by a newer report. Safe for use by many threads; no other lock
 * is taken while its lock is held.
 */
final class PartTable {
    private final Map<String, WorkerEntry> workers = new HashMap<>();
    private long lastChange;

    private record WorkerEntry(WorkerParts parts, long change) {}

    /** Replaces the parts of a worker if the list is newer than the known one; returns whether it was. */
    synchronized boolean putIfNewer(WorkerParts parts) {
        WorkerEntry old = workers.get(parts.worker());
        if (old != null && !parts.newerThan(old.parts())) {
            return false;
        }
        lastChange++;
        workers.put(parts.worker(), new WorkerEntry(parts, lastChange));
        return true;
    }

    /** Merges changed parts into the known parts of a worker; returns false if its complete list is not known. */
    synchronized boolean merge(WorkerParts changed, List<AttemptId> removed) {
        WorkerEntry old = workers.get(changed.worker());
        if (old == null || old.parts().incarnation() != changed.incarnation()) {
            return false;
        }
        if (changed.parts().isEmpty() && removed.isEmpty()) {
            return true;
        }
        Map<String, PartReport> all = new LinkedHashMap<>();
        old.parts().parts().forEach(p -> all.put(key(p), p));
        changed.parts().forEach(p -> all.put(key(p), p));
        all.values().removeIf(p -> removed.contains(p.id()));
        return putIfNewer(new WorkerParts(
                changed.worker(), changed.incarnation(), changed.sequence(), new ArrayList<>(all.values())));
    }

    synchronized Optional<WorkerParts> get(String worker) {
        return Optional.ofNullable(workers.get(worker)).map(WorkerEntry::parts);
    }

    /** Returns the number of the newest change. */
    synchronized long lastChange() {
        return lastChange;
    }

    /** Returns the lists of the workers that changed after the change with the given number. */
    synchronized List<WorkerParts> changedSince(long number) {
        return workers.values().stream()
                .filter(e -> e.change() > number)
                .map(WorkerEntry::parts)
                .toList();
    }

    private static String key(PartReport p) {
        return p.id().job() + "#" + p.id().attempt() + "#" + p.rank();
    }
}
