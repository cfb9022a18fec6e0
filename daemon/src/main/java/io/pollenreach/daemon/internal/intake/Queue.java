package io.pollenreach.daemon.internal.intake;

import java.util.Optional;

import io.pollenreach.internal.batch.JobObjective;

/**
 * A queue that takes jobs.
 *
 * <p>Immutable.
 *
 * @param name its name
 * @param host the host name by which callers address it
 * @param pathPrefix what the path of its calls begins with
 * @param pool the pool of workers that runs its jobs
 * @param priority 0 is the most urgent
 * @param maxAttempts how often a task may fail before its job fails
 * @param open whether calls need no key
 * @param advised whether tasks may only run where the queue's advisor allows it
 * @param objective how fast its jobs are to be completed; empty for none
 */
public record Queue(
        String name,
        String host,
        String pathPrefix,
        String pool,
        int priority,
        int maxAttempts,
        boolean open,
        boolean advised,
        Optional<JobObjective> objective) {
    /** Creates a queue without an objective. */
    public Queue(
            String name,
            String host,
            String pathPrefix,
            String pool,
            int priority,
            int maxAttempts,
            boolean open,
            boolean advised) {
        this(name, host, pathPrefix, pool, priority, maxAttempts, open, advised, Optional.empty());
    }
}
