package io.pollenreach.bench.standin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.services.TaskStatus;

/**
 * The runtime of one worker.
 *
 * <p>Invariants: a task runs only under a lease that has not lapsed; an ended task never runs again, and its id can't
 * be used for another. Safe for use by many threads: one lock guards all tasks of the worker.
 */
final class WorkerRuntime {
    private static final long CHECKPOINT_TIME_MS = 20;
    private static final long LISTED_AFTER_END_MS = 600_000;

    private final String worker;
    private final Clock clock;
    private final History history;
    private final ScheduledExecutorService timers;
    private final long usageLagMs;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private boolean failStarts;

    WorkerRuntime(String worker, Clock clock, History history, ScheduledExecutorService timers, long usageLagMs) {
        this.worker = worker;
        this.clock = clock;
        this.history = history;
        this.timers = timers;
        this.usageLagMs = usageLagMs;
    }

    synchronized void setFailStarts(boolean on) {
        failStarts = on;
    }

    /** Creates a held task; creating it once more does nothing. Returns false when the id has another declaration. */
    synchronized boolean create(String id, int accelerators, String command, long leaseMs) {
        Task old = tasks.get(id);
        if (old != null) {
            return old.accelerators == accelerators && old.commandText.equals(command);
        }
        Task task = new Task(id, accelerators, command, clock.nowMs() + leaseMs);
        tasks.put(id, task);
        history.append(new HistoryEvent.TaskHeld(worker, id, accelerators, command));
        watchLease(task, leaseMs);
        return true;
    }

    /** Starts a held task; does nothing when it was started before. Returns false for an unknown one. */
    synchronized boolean start(String id) {
        Task task = tasks.get(id);
        if (task == null) {
            return false;
        }
        if (task.state != TaskStatus.State.HELD || task.stopping) {
            return true;
        }
        if (failStarts || task.command.kind() == Command.Kind.FAILFAST) {
            end(task, TaskStatus.State.FAILED, "the start failed");
            return true;
        }
        task.state = TaskStatus.State.RUNNING;
        task.ran = true;
        task.progress.setSpeed(clock.nowMs(), task.percent);
        history.append(new HistoryEvent.TaskStarted(worker, id, task.accelerators));
        watchWork(task);
        return true;
    }

    synchronized void renew(List<String> ids, long leaseMs) {
        ids.stream()
                .map(tasks::get)
                .filter(t -> t != null && !t.state.ended())
                .forEach(t -> t.leaseEndMs = clock.nowMs() + leaseMs);
    }

    /** Saves the work of a task, unless it hangs. Returns false for an unknown one. */
    synchronized boolean checkpoint(String id) {
        Task task = tasks.get(id);
        if (task == null) {
            return false;
        }
        if (task.state == TaskStatus.State.RUNNING && task.command.kind() != Command.Kind.HANG) {
            task.checkpointMs = task.progress.atMs(clock.nowMs());
        }
        return true;
    }

    /** Changes the speed of a task. Returns false for an unknown one. */
    synchronized boolean throttle(String id, int percent) {
        Task task = tasks.get(id);
        if (task == null) {
            return false;
        }
        task.percent = percent;
        if (task.state == TaskStatus.State.RUNNING) {
            task.progress.setSpeed(clock.nowMs(), percent);
            watchWork(task);
        }
        return true;
    }

    /** Stops a task: it checkpoints and ends, or is killed after the grace. Empty for an unknown one. */
    synchronized Optional<CompletableFuture<TaskStatus>> stop(String id, long graceMs) {
        Task task = tasks.get(id);
        if (task == null) {
            return Optional.empty();
        }
        if (task.state == TaskStatus.State.HELD) {
            end(task, TaskStatus.State.STOPPED, "stopped before its start");
        }
        if (task.state == TaskStatus.State.RUNNING && !task.stopping) {
            task.stopping = true;
            boolean obeys = task.command.kind() != Command.Kind.HANG;
            long delayMs = obeys ? Math.min(CHECKPOINT_TIME_MS, graceMs) : graceMs;
            later(delayMs, () -> finishStop(task, obeys && graceMs >= CHECKPOINT_TIME_MS));
        }
        return Optional.of(task.ended.thenApply(v -> status(task)));
    }

    synchronized List<TaskStatus> list() {
        long oldestEndMs = clock.nowMs() - LISTED_AFTER_END_MS;
        return tasks.values().stream()
                .filter(t -> !t.state.ended() || t.endMs >= oldestEndMs)
                .map(this::status)
                .collect(Collectors.toList());
    }

    private synchronized TaskStatus status(Task task) {
        return task.status(clock.nowMs(), usageLagMs);
    }

    private synchronized void finishStop(Task task, boolean saved) {
        if (task.state.ended()) {
            return;
        }
        if (saved) {
            task.checkpointMs = task.progress.atMs(clock.nowMs());
        }
        end(task, TaskStatus.State.STOPPED, saved ? "stopped after a checkpoint" : "killed after the grace");
    }

    private synchronized void watchLease(Task task, long delayMs) {
        later(delayMs, () -> checkLease(task));
    }

    private synchronized void checkLease(Task task) {
        if (task.state.ended()) {
            return;
        }
        long leftMs = task.leaseEndMs - clock.nowMs();
        if (leftMs > 0) {
            watchLease(task, leftMs);
            return;
        }
        end(task, TaskStatus.State.LAPSED, "the lease lapsed");
    }

    private synchronized void watchWork(Task task) {
        if (!task.command.kind().endsByItself()) {
            return;
        }
        int timer = ++task.timer;
        later(task.progress.remainingMs(clock.nowMs(), task.command.workMs()), () -> checkWork(task, timer));
    }

    private synchronized void checkWork(Task task, int timer) {
        if (task.state.ended() || task.timer != timer) {
            return;
        }
        if (task.progress.atMs(clock.nowMs()) < task.command.workMs()) {
            watchWork(task);
            return;
        }
        if (task.command.kind() == Command.Kind.FAIL) {
            end(task, TaskStatus.State.FAILED, "exit status 1");
            return;
        }
        end(task, TaskStatus.State.SUCCEEDED, "exit status 0");
    }

    private void end(Task task, TaskStatus.State state, String detail) {
        task.state = state;
        task.detail = detail;
        task.endMs = clock.nowMs();
        history.append(new HistoryEvent.TaskEnded(worker, task.id, task.accelerators, state.name(), task.ran, detail));
        // Dependents run outside the worker's lock.
        timers.execute(() -> task.ended.complete(null));
    }

    private void later(long delayMs, Runnable action) {
        timers.schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }
}
