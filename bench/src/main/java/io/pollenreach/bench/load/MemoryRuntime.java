package io.pollenreach.bench.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.services.TaskRuntime;
import io.pollenreach.daemon.internal.services.TaskStatus;
import io.pollenreach.daemon.internal.services.TaskStatus.State;

/**
 * A worker's runtime in memory, whose tasks run until they are stopped and whose leases never lapse.
 *
 * <p>Safe for use by many threads.
 */
final class MemoryRuntime implements TaskRuntime {
    private final Map<String, TaskStatus> tasks = new LinkedHashMap<>();

    @Override
    public synchronized CompletableFuture<Void> create(String task, int accelerators, String command, long leaseMs) {
        tasks.putIfAbsent(task, new TaskStatus(task, State.HELD, accelerators, 0, 0, ""));
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> start(String task) {
        return move(task, State.RUNNING).thenApply(s -> null);
    }

    @Override
    public CompletableFuture<Void> renew(List<String> renewed, long leaseMs) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> checkpoint(String task) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> throttle(String task, int percent) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<TaskStatus> stop(String task, long graceMs) {
        return move(task, State.STOPPED);
    }

    private synchronized CompletableFuture<TaskStatus> move(String task, State state) {
        TaskStatus old = tasks.get(task);
        if (old == null) {
            return CompletableFuture.failedFuture(new PollenreachException(ResultCode.NOT_FOUND, task));
        }
        if (!old.state().ended()) {
            tasks.put(task, new TaskStatus(task, state, old.accelerators(), 0, 0, ""));
        }
        return CompletableFuture.completedFuture(tasks.get(task));
    }

    @Override
    public synchronized CompletableFuture<List<TaskStatus>> list() {
        return CompletableFuture.completedFuture(new ArrayList<>(tasks.values()));
    }
}
