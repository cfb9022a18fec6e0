package io.pollenreach.daemon.internal.agent;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.services.TaskRuntime;
import io.pollenreach.daemon.internal.services.TaskStatus;
import io.pollenreach.internal.gang.GangMember;
import io.pollenreach.internal.wire.PartReport;
import io.pollenreach.internal.wire.PartState;

/**
 * Stops the tasks of parts and records when the parts have ended.
 *
 * <p>Invariants: a part ends only when its task cannot be running: the runtime reported its end, does not know the
 * task, or the task's lease has expired. After the grace period a stop becomes a kill, which is repeated until the part
 * has ended. Safe for use by many threads; it takes the lock of the {@link PartTable} and completes futures outside of
 * it.
 */
final class PartStopper {
    private static final Events EVENTS = Events.of(PartStopper.class);

    private final PartTable table;
    private final TaskRuntime runtime;
    private final GangMember member;
    private final Clock clock;
    private final Runnable onEnd;

    PartStopper(PartTable table, TaskRuntime runtime, GangMember member, Clock clock, Runnable onEnd) {
        this.table = table;
        this.runtime = runtime;
        this.member = member;
        this.clock = clock;
        this.onEnd = onEnd;
    }

    /**
     * Stops a part; does nothing when it has ended, and may only shorten the grace period when it is already stopping.
     *
     * @param graceMs milliseconds that the task has for a checkpoint before it is killed
     * @param reason explanation for the log and for the detail of the part's report
     */
    void stop(HeldPart part, long graceMs, String reason) {
        if (part.live()) {
            EVENTS.info("part-stopping", "task", part.task, "graceMs", graceMs, "why", reason);
        }
        boolean unused = table.change(part, p -> p.state == PartState.RESERVED && !p.taskMayExist, () -> {});
        if (unused) {
            end(part, PartState.STOPPED, reason);
            return;
        }
        long killAtMs = clock.nowMs() + graceMs;
        AtomicBoolean newlyStopping = new AtomicBoolean();
        table.change(part, HeldPart::live, () -> {
            newlyStopping.set(part.state != PartState.STOPPING);
            part.killAtMs = newlyStopping.get() ? killAtMs : Math.min(part.killAtMs, killAtMs);
            part.detail = newlyStopping.get() ? reason : part.detail;
            part.state = PartState.STOPPING;
        });
        if (newlyStopping.get()) {
            // While the task is still being created, a stop could reach the runtime before the creation and have no
            // effect.
            part.preparing.whenComplete((v, t) -> sendStop(part, graceMs));
        }
    }

    private void sendStop(HeldPart part, long graceMs) {
        if (graceMs <= 0) {
            part.killSentMs = clock.nowMs();
        }
        runtime.stop(part.task, graceMs).whenComplete((status, t) -> onStopResponse(part, status, t));
    }

    private void onStopResponse(HeldPart part, TaskStatus status, Throwable t) {
        if (status != null && status.state().ended()) {
            end(part, endStateOf(status.state()), endDetail(part, status));
            return;
        }
        if (t != null && PollenreachException.of(t).code() == ResultCode.NOT_FOUND) {
            end(part, PartState.STOPPED, part.detail);
        }
    }

    private static String endDetail(HeldPart part, TaskStatus status) {
        boolean endedByItself =
                status.state() == TaskStatus.State.SUCCEEDED || status.state() == TaskStatus.State.FAILED;
        return endedByItself || part.detail.isEmpty() ? status.detail() : part.detail;
    }

    private static PartState endStateOf(TaskStatus.State state) {
        switch (state) {
            case SUCCEEDED:
                return PartState.SUCCEEDED;
            case FAILED:
                return PartState.FAILED;
            default:
                return PartState.STOPPED;
        }
    }

    /** Ends the part if the runtime reports that its task has ended. */
    void onTaskStatus(HeldPart part, TaskStatus status) {
        if (status.state().ended()) {
            onStopResponse(part, status, null);
        }
    }

    /** Kills stopping tasks whose grace period is over, and ends their parts once the lease has expired. */
    void tick() {
        long nowMs = clock.nowMs();
        for (HeldPart part : table.list(p -> p.state == PartState.STOPPING && nowMs >= p.killAtMs)) {
            if (nowMs - part.possibleRenewalMs > AgentTimes.TASK_LEASE_MS + AgentTimes.LEASE_MARGIN_MS) {
                end(part, PartState.STOPPED, part.detail + "; its lease has expired");
                continue;
            }
            boolean killDue = part.killSentMs == 0 || nowMs - part.killSentMs >= AgentTimes.RUNTIME_TIMEOUT_MS;
            if (killDue && part.preparing.isDone()) {
                sendStop(part, 0);
            }
        }
        grantWaiting();
    }

    /** Records the end of a part and grants its accelerators to waiting reservations. */
    void end(HeldPart part, PartState state, String detail) {
        if (!table.end(part, state, detail)) {
            return;
        }
        PartReport report = table.report(part);
        EVENTS.info("part-ended", "task", part.task, "state", state, "detail", detail);
        member.remove(part.key);
        part.granted.completeExceptionally(new PollenreachException(ResultCode.NO_CAPACITY, detail));
        part.ended.complete(report);
        grantWaiting();
        onEnd.run();
    }

    /** Grants waiting reservations, in the order of their arrival, while accelerators are free. */
    void grantWaiting() {
        for (HeldPart part : table.grantWaiting()) {
            EVENTS.info("reserve-granted", "task", part.task, "accelerators", part.accelerators);
            part.granted.complete(null);
        }
    }

    /** Completes when all the parts have ended. */
    static CompletableFuture<Void> whenAllEnded(Iterable<HeldPart> parts) {
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        for (HeldPart part : parts) {
            all = all.thenCombine(part.ended, (v, r) -> null);
        }
        return all;
    }
}
