package io.pollenreach.internal.batch;

import java.util.Map;
import java.util.Set;

/**
 * The rows that a scheduler has to store, those of jobs first.
 *
 * <p>Immutable.
 *
 * @param jobs the changed rows of progress by job and then by key; the rows of one job belong into one transaction, and
 *     its first row comes first, so that a job of which only some could be stored never seems to be new
 * @param outdated the keys of rows of progress to remove, once those of the jobs are stored
 * @param workers the changed orders by the agent's name
 */
public record StateChanges(
        Map<String, Map<String, ProgressRow>> jobs, Set<String> outdated, Map<String, WorkerOrders> workers) {
    /** Tells whether there is nothing to store. */
    public boolean isEmpty() {
        return jobs.isEmpty() && workers.isEmpty();
    }
}
