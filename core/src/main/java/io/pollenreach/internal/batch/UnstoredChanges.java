package io.pollenreach.internal.batch;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The jobs and workers whose stored rows differ from the scheduler's state.
 *
 * <p>Invariant: a job or worker that was added stays until its rows were stored. Not thread-safe: confined to the scheduler's
 * thread.
 */
final class UnstoredChanges {
    private final JobTable jobs;
    private final WorkerTable workers;
    private final Set<String> changedJobs = new LinkedHashSet<>();
    private final Set<String> changedWorkers = new LinkedHashSet<>();

    UnstoredChanges(JobTable jobs, WorkerTable workers) {
        this.jobs = jobs;
        this.workers = workers;
    }

    void add(JobProgress job) {
        changedJobs.add(job.job().id());
    }

    void add(WorkerAllocations worker) {
        changedWorkers.add(worker.name());
    }

    /** Tells whether a job's rows are to be stored. */
    boolean containsJob(String id) {
        return changedJobs.contains(id);
    }

    /** Returns the rows to store. */
    StateChanges toRows() {
        Map<String, Map<String, ProgressRow>> rows = new LinkedHashMap<>();
        Set<String> outdated = new LinkedHashSet<>();
        for (String id : changedJobs) {
            rows.put(id, jobs.get(id).changedRows());
            outdated.addAll(jobs.get(id).outdatedKeys());
        }
        Map<String, WorkerOrders> orders = new LinkedHashMap<>();
        changedWorkers.stream()
                .map(workers::get)
                .filter(WorkerAllocations::ordersKnown)
                .forEach(w -> orders.put(w.name(), w.toOrders()));
        return new StateChanges(rows, outdated, orders);
    }

    /** Records that the rows were stored, under a version; see {@link SchedulerState#committed}. */
    void committed(long version) {
        changedJobs.forEach(id -> jobs.get(id).committed());
        changedWorkers.stream()
                .map(workers::get)
                .filter(WorkerAllocations::ordersKnown)
                .forEach(w -> w.committed(version));
        changedJobs.clear();
        changedWorkers.clear();
    }
}
