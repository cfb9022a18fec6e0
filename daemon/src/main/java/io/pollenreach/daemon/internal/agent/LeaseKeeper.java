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
 * Renews the leases of live tasks, all in one call, and learns from the runtime which tasks ended.
 *
 * <p>Invariants: a task whose grace is over is not renewed any more; a part whose lease may have lapsed is given up, so
 * that its gang learns of it. {@link #renew} and {@link #pollTasks} are called from one
 * thread; answers come on any.
 */
final class LeaseKeeper {
    private static final Events EVENTS = Events.of(LeaseKeeper.class);
    /** A task that fails sooner than this after its start counts as a failed start, in milliseconds. */
    private static final long EARLY_FAILURE_MS = 5_000;

    private final PartTable table;
    private final PartStopper stopper;
    private final TaskRuntime runtime;
    private final FailureWindow failures;
    private final Clock clock;
    private CompletableFuture<?> renewing = CompletableFuture.completedFuture(null);
    private CompletableFuture<?> polling = CompletableFuture.completedFuture(null);

    LeaseKeeper(PartTable table, PartStopper stopper, TaskRuntime runtime, FailureWindow failures, Clock clock) {
        this.table = table;
        this.stopper = stopper;
        this.runtime = runtime;
        this.failures = failures;
        this.clock = clock;
    }

    /** Renews all leases unless the last renewal still waits for its answer. */
    void renew() {
        long nowMs = clock.nowMs();
        List<HeldPart> live = table.list(p -> p.live() && p.taskMayExist && !killing(p, nowMs));
        if (live.isEmpty() || !renewing.isDone()) {
            return;
        }
        live.forEach(p -> p.possibleRenewalMs = nowMs);
        List<String> tasks = live.stream().map(p -> p.task).toList();
        renewing = runtime.renew(tasks, AgentTimes.TASK_LEASE_MS).whenComplete((v, t) -> renewed(live, nowMs, t));
    }

    private static boolean killing(HeldPart part, long nowMs) {
        return part.state == PartState.STOPPING && nowMs >= part.killAtMs;
    }

    private void renewed(List<HeldPart> parts, long sentMs, Throwable t) {
        // The runtime may have taken the renewal at any moment until now, also when the answer was lost.
        long nowMs = clock.nowMs();
        parts.forEach(p -> p.possibleRenewalMs = nowMs);
        if (t != null) {
            EVENTS.warn("renew-failed", "tasks", parts.size(), "why", t.getMessage());
            return;
        }
        parts.forEach(p -> p.confirmedRenewalMs = sentMs);
    }

    /** Gives up the parts whose lease may have lapsed, because the runtime or this process was silent. */
    void stopPartsWithExpiredLease() {
        long nowMs = clock.nowMs();
        for (HeldPart part : table.list(p -> p.live() && p.taskMayExist && p.state != PartState.STOPPING)) {
            if (nowMs - part.confirmedRenewalMs > AgentTimes.TASK_LEASE_MS) {
                stopper.stop(part, 0, "its lease was not renewed for " + (nowMs - part.confirmedRenewalMs) + " ms");
            }
        }
    }

    /** Reads the runtime's tasks when any part may have one. */
    void pollTasks() {
        List<HeldPart> known = table.list(
                p -> p.live() && p.taskMayExist && p.preparing.isDone() && !p.preparing.isCompletedExceptionally());
        if (known.isEmpty() || !polling.isDone()) {
            return;
        }
        polling = runtime.list().whenComplete((tasks, t) -> {
            if (t == null) {
                compare(known, tasks);
            }
        });
    }

    private void compare(List<HeldPart> known, List<TaskStatus> tasks) {
        Map<String, TaskStatus> byId = new HashMap<>();
        tasks.forEach(s -> byId.put(s.id(), s));
        for (HeldPart part : known) {
            TaskStatus status = byId.get(part.task);
            if (status == null) {
                stopper.end(part, PartState.STOPPED, "the runtime has lost the task");
                continue;
            }
            noteEarlyFailure(part, status);
            stopper.onTaskStatus(part, status);
        }
        stopStrangers(tasks);
    }

    private void noteEarlyFailure(HeldPart part, TaskStatus status) {
        boolean failed = status.state() == TaskStatus.State.FAILED;
        if (failed && part.live() && clock.nowMs() - part.startedMs < EARLY_FAILURE_MS) {
            failures.add();
        }
    }

    /** Stops tasks that no part stands for, such as one whose creation arrived after it was given up. */
    private void stopStrangers(List<TaskStatus> tasks) {
        Set<String> ours = table.list(HeldPart::live).stream().map(p -> p.task).collect(Collectors.toSet());
        for (TaskStatus status : tasks) {
            if (!status.state().ended() && !ours.contains(status.id())) {
                EVENTS.warn("stranger-stopped", "task", status.id());
                runtime.stop(status.id(), 0);
            }
        }
    }
}
