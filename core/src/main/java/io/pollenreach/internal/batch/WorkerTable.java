package io.pollenreach.internal.batch;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * The workers that a scheduler knows, by the names of their agents.
 *
 * <p>Invariant: a worker is never removed, only marked as lost. Not thread-safe: confined to the scheduler's thread.
 */
public final class WorkerTable {
    private final Map<String, WorkerAllocations> byAgent = new TreeMap<>();

    void add(WorkerAllocations worker) {
        byAgent.put(worker.name(), worker);
    }

    /** Returns a worker; null for one that is not known. */
    WorkerAllocations get(String agent) {
        return byAgent.get(agent);
    }

    Collection<WorkerAllocations> all() {
        return Collections.unmodifiableCollection(byAgent.values());
    }

    /**
     * Returns the last reports of the workers that have not reported for longer than a time. Leaves out workers already
     * marked as lost and agents without a worker, but not those whose report cannot be read.
     *
     * @param timeoutMs returns that time of a worker by its last report, in milliseconds
     */
    List<WorkerReport> unresponsive(ToLongFunction<WorkerReport> timeoutMs, long nowMs) {
        return byAgent.values().stream()
                .filter(w -> !w.reportReadable() || !w.report().instance().isEmpty())
                .filter(w -> !w.report().lost())
                .filter(w -> nowMs - w.reportedMs() > timeoutMs.applyAsLong(w.report()))
                .map(WorkerAllocations::report)
                .toList();
    }

    /** Returns the longest lease that any agent reports, or a shortest one, in milliseconds. */
    long longestLeaseMs(long shortestMs) {
        return byAgent.values().stream().mapToLong(w -> w.report().leaseMs()).reduce(shortestMs, Math::max);
    }

    /** Returns a worker's availability zone by its newest report; empty if it is not known. */
    public String zone(String agent) {
        WorkerAllocations w = byAgent.get(agent);
        return w == null ? "" : w.report().zone();
    }

    /** Returns the store's version of an agent's newest report; 0 if there is none. */
    public long reportVersion(String agent) {
        WorkerAllocations w = byAgent.get(agent);
        return w == null ? 0 : w.reportVersion();
    }
}
