package io.pollenreach.internal.placement;

import java.util.List;

/**
 * Decides where waiting jobs run.
 *
 * <p>Implementations are pure: the same arguments give the same decisions. So they are safe for use by many threads.
 */
@FunctionalInterface
public interface Placer {
    /**
     * Decides about all waiting jobs at once.
     *
     * @param view the cluster
     * @param queue the waiting jobs in any order
     * @param seed breaks ties between equally good workers
     * @return one decision for each job, in the order in which they are to be carried out
     */
    List<Decision> decide(ClusterView view, List<WaitingJob> queue, long seed);
}
