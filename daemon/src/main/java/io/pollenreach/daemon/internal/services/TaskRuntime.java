package io.pollenreach.daemon.internal.services;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's runtime on one worker, which runs tasks under leases.
 *
 * <p>A task whose lease is not renewed in time is killed by the runtime. All calls are idempotent. Implementations are
 * safe for use by many threads.
 */
public interface TaskRuntime {
    /** Creates a task that holds its accelerators and does not run yet. */
    CompletableFuture<Void> create(String task, int accelerators, String command, long leaseMs);

    /** Starts a held task. */
    CompletableFuture<Void> start(String task);

    /** Renews the leases of tasks; unknown and ended ones are passed over. */
    CompletableFuture<Void> renew(List<String> tasks, long leaseMs);

    /** Asks a task to save its work; completes when the runtime has taken the order. */
    CompletableFuture<Void> checkpoint(String task);

    /** Limits a task to a part of its speed, 1 to 100 percent. */
    CompletableFuture<Void> throttle(String task, int percent);

    /** Asks a task to checkpoint and end, and kills it after the grace; completes when it has ended. */
    CompletableFuture<TaskStatus> stop(String task, long graceMs);

    /** Lists all tasks that the runtime remembers. */
    CompletableFuture<List<TaskStatus>> list();
}
