package io.pollenreach.daemon.internal.agent;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.services.TaskRuntime;
import io.pollenreach.daemon.internal.services.TaskStatus;
import io.pollenreach.internal.wire.PartState;

/**
 * Renews the leases of all live tasks in one call, and polls the runtime for tasks that have ended.
 *
 * <p>Invariants: the lease of a task whose grace period is over is no longer renewed; a part whose lease may have
 * expired is stopped, so that its gang is told. {@link #renew} and {@link #pollTasks} are called from one thread;
 * responses may arrive on any thread.
 */
final class LeaseKeeper {
    private static final Events EVENTS = Events.of(LeaseKeeper.class);
    /** A task that fails within this many milliseconds after its start counts as a failure of the worker. */
    private static final long EARLY_FAILURE_MS = 5_000;

    private final PartTable table;
    private final PartStopper stopper;
    private final TaskRuntime runtime;
    private final FailureWindow failures;
    private final Clock clock;
    private CompletableFuture<?> pendingRenewal = CompletableFuture.completedFuture(null);
    private CompletableFuture<?> pendingPoll = CompletableFuture.completedFuture(null);

    LeaseKeeper(PartTable table, PartStopper stopper, TaskRuntime runtime, FailureWindow failures, Clock clock) {
        this.table = table;
        this.stopper = stopper;
        this.runtime = runtime;
        this.failures = failures;
        this.clock = clock;
    }

    /** Renews all leases, unless the response to the last renewal is still pending. */
    void renew() {
        long nowMs = clock.nowMs();
        List<HeldPart> live = table.list(p -> p.live() && p.taskMayExist && !graceOver(p, nowMs));
        if (live.isEmpty() || !pendingRenewal.isDone()) {
            return;
        }
        live.forEach(p -> p.possibleRenewalMs = nowMs);
        List<String> tasks = live.stream().map(p -> p.task).toList();
        pendingRenewal =
                runtime.renew(tasks, AgentTimes.TASK_LEASE_MS).whenComplete((v, t) -> onRenewed(live, nowMs, t));
    }

    private static boolean graceOver(HeldPart part, long nowMs) {
        return part.state == PartState.STOPPING && nowMs >= part.killAtMs;
    }

    private void onRenewed(List<HeldPart> parts, long sentMs, Throwable t) {
        // The runtime may have applied the renewal at any moment until now, even when its response was lost.
        long nowMs = clock.nowMs();
        parts.forEach(p -> p.possibleRenewalMs = nowMs);
        if (t != null) {
            EVENTS.warn("renew-failed", "tasks", parts.size(), "why", t.getMessage());
            return;
        }
        parts.forEach(p -> p.confirmedRenewalMs = sentMs);
    }

    /** Stops parts whose lease may have expired because the runtime did not respond or this process was paused. */
    void stopPartsWithExpiredLease() {
        long nowMs = clock.nowMs();
        for (HeldPart part : table.list(p -> p.live() && p.taskMayExist && p.state != PartState.STOPPING)) {
            if (nowMs - part.confirmedRenewalMs > AgentTimes.TASK_LEASE_MS) {
                stopper.stop(
                        part,
                        0,
                        "no renewal of its lease was confirmed for " + (nowMs - part.confirmedRenewalMs) + " ms");
            }
        }
    }

    /** Lists the runtime's tasks and applies their states, if any part here may have a task. */
    void pollTasks() {
        List<HeldPart> known = table.list(
                p -> p.live() && p.taskMayExist && p.preparing.isDone() && !p.preparing.isCompletedExceptionally());
        if (known.isEmpty() || !pendingPoll.isDone()) {
            return;
        }
        pendingPoll = runtime.list().whenComplete((tasks, t) -> {
            if (t == null) {
                applyStates(known, tasks);
            }
        });
    }

    private void applyStates(List<HeldPart> known, List<TaskStatus> tasks) {
        Map<String, TaskStatus> byId = new HashMap<>();
        tasks.forEach(s -> byId.put(s.id(), s));
        for (HeldPart part : known) {
            TaskStatus status = byId.get(part.task);
            if (status == null) {
                stopper.end(part, PartState.STOPPED, "the runtime no longer lists the task");
                continue;
            }
            countEarlyFailure(part, status);
            stopper.onTaskStatus(part, status);
        }
        stopUnknownTasks(tasks);
    }

    private void countEarlyFailure(HeldPart part, TaskStatus status) {
        boolean failed = status.state() == TaskStatus.State.FAILED;
        if (failed && part.live() && clock.nowMs() - part.startedMs < EARLY_FAILURE_MS) {
            failures.add();
        }
    }

    /** Stops tasks that belong to no live part, such as one that was created after its part had been stopped. */
    private void stopUnknownTasks(List<TaskStatus> tasks) {
        Set<String> liveTasks =
                table.list(HeldPart::live).stream().map(p -> p.task).collect(Collectors.toSet());
        for (TaskStatus status : tasks) {
            if (!status.state().ended() && !liveTasks.contains(status.id())) {
                EVENTS.warn("unknown-task-stopped", "task", status.id());
                runtime.stop(status.id(), 0);
            }
        }
    }
}
