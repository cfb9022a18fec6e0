package io.pollenreach.daemon.internal.intake;

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
 */
public record Queue(
        String name,
        String host,
        String pathPrefix,
        String pool,
        int priority,
        int maxAttempts,
        boolean open,
        boolean advised) {}
