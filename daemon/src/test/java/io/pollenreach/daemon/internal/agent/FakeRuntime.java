package io.pollenreach.daemon.internal.agent;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.ManualClock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.services.TaskRuntime;
import io.pollenreach.daemon.internal.services.TaskStatus;
import io.pollenreach.daemon.internal.services.TaskStatus.State;

/** A runtime in memory, which kills tasks whose lease lapsed. Used by one thread. */
final class FakeRuntime implements TaskRuntime {
    final List<String> log = new ArrayList<>();
    /** Whether tasks ignore a stop until they are killed. */
    boolean ignoresGracefulStop;
    /** Whether calls get no answer and have no effect. */
    boolean failsAllCalls;

    CompletableFuture<Void> createHook = CompletableFuture.completedFuture(null);

    private final ManualClock clock;
    private final Map<String, Task> tasks = new LinkedHashMap<>();

    private static final class Task {
        private State state = State.HELD;
        private int accelerators;
        private long leaseEndMs;
        private long killAtMs = Long.MAX_VALUE;
        private final List<CompletableFuture<TaskStatus>> stops = new ArrayList<>();
    }

    FakeRuntime(ManualClock clock) {
        this.clock = clock;
    }

    void tick() {
        long nowMs = clock.nowMs();
        tasks.forEach((id, t) -> {
            if (!t.state.ended() && nowMs >= t.killAtMs) {
                finish(id, State.STOPPED);
            }
            if (!t.state.ended() && nowMs > t.leaseEndMs) {
                finish(id, State.LAPSED);
            }
        });
    }

    void finish(String id, State state) {
        Task t = tasks.get(id);
        t.state = state;
        t.stops.forEach(f -> f.complete(status(id)));
        t.stops.clear();
    }

    State state(String id) {
        tick();
        return tasks.get(id) == null ? null : tasks.get(id).state;
    }

    int inUse() {
        tick();
        return tasks.values().stream()
                .filter(t -> !t.state.ended())
                .mapToInt(t -> t.accelerators)
                .sum();
    }

    void add(String id, State state) {
        Task t = new Task();
        t.state = state;
        t.leaseEndMs = clock.nowMs() + 3_000;
        tasks.put(id, t);
    }

    private TaskStatus status(String id) {
        Task t = tasks.get(id);
        return new TaskStatus(id, t.state, t.accelerators, 0, 0, "");
    }

    private <T> CompletableFuture<T> timeout() {
        return CompletableFuture.failedFuture(new PollenreachException(ResultCode.WRITE_UNKNOWN, "no answer"));
    }

    @Override
    public CompletableFuture<Void> create(String task, int accelerators, String command, long leaseMs) {
        log.add("create " + task);
        if (failsAllCalls) {
            return timeout();
        }
        return createHook.thenRun(() -> {
            Task t = new Task();
            t.accelerators = accelerators;
            t.leaseEndMs = clock.nowMs() + leaseMs;
            tasks.putIfAbsent(task, t);
        });
    }

    @Override
    public CompletableFuture<Void> start(String task) {
        log.add("start " + task);
        if (failsAllCalls) {
            return timeout();
        }
        tick();
        if (tasks.get(task).state == State.HELD) {
            tasks.get(task).state = State.RUNNING;
        }
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> renew(List<String> renewed, long leaseMs) {
        log.add("renew " + renewed);
        if (failsAllCalls) {
            return timeout();
        }
        tick();
        renewed.forEach(id -> tasks.get(id).leaseEndMs = clock.nowMs() + leaseMs);
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
        log.add("stop " + task + " " + graceMs);
        if (failsAllCalls) {
            return timeout();
        }
        tick();
        Task t = tasks.get(task);
        if (t == null) {
            return CompletableFuture.failedFuture(new PollenreachException(ResultCode.NOT_FOUND, task));
        }
        if (t.state.ended()) {
            return CompletableFuture.completedFuture(status(task));
        }
        CompletableFuture<TaskStatus> future = new CompletableFuture<>();
        t.stops.add(future);
        if (!ignoresGracefulStop || graceMs == 0) {
            finish(task, State.STOPPED);
        }
        return future;
    }

    @Override
    public CompletableFuture<List<TaskStatus>> list() {
        if (failsAllCalls) {
            return timeout();
        }
        tick();
        return CompletableFuture.completedFuture(
                tasks.keySet().stream().map(this::status).toList());
    }
}
