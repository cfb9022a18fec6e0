package io.pollenreach.daemon.internal.agent;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.services.TaskRuntime;
import io.pollenreach.daemon.internal.services.TaskStatus;

/**
 * Stops orphans when an agent starts: tasks that an earlier agent of this worker left at the runtime.
 *
 * <p>Invariant: {@link #stopOrphans()} yields true only when the runtime itself reported that no task runs or is held.
 * Called from one thread.
 */
final class OrphanStopper {
    private static final Events EVENTS = Events.of(OrphanStopper.class);

    private final TaskRuntime runtime;

    OrphanStopper(TaskRuntime runtime) {
        this.runtime = runtime;
    }

    /** Stops all tasks at the runtime; yields true if there were none, so that the agent may announce itself. */
    CompletableFuture<Boolean> stopOrphans() {
        return runtime.list().thenCompose(this::stopAll).exceptionally(t -> {
            EVENTS.warn("orphan-list-failed", "why", t.getMessage());
            return false;
        });
    }

    private CompletableFuture<Boolean> stopAll(List<TaskStatus> tasks) {
        List<TaskStatus> live = tasks.stream().filter(s -> !s.state().ended()).toList();
        CompletableFuture<Boolean> done = CompletableFuture.completedFuture(live.isEmpty());
        for (TaskStatus status : live) {
            EVENTS.info("orphan-stopped", "task", status.id(), "state", status.state());
            done = done.thenCombine(runtime.stop(status.id(), 0), (noneLeft, ended) -> noneLeft);
        }
        return done;
    }
}
