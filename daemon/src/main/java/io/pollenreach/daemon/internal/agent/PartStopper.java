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
 * Stops parts and records their ends.
 *
 * <p>Invariants: a part ends only once its task has surely stopped: the runtime said so, does not know the task, or the
 * lease has lapsed. A stop that was asked for is repeated until then, and turns into a kill after its grace. Safe for
 * use by many threads; it takes the lock of the {@link PartTable} and completes futures outside of it.
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
     * Stops a part; does nothing when it has ended, and shortens the grace when it is being stopped.
     *
     * @param part the part
     * @param graceMs milliseconds for a checkpoint before it is killed
     * @param why text for people
     */
    void stop(HeldPart part, long graceMs, String why) {
        if (part.live()) {
            EVENTS.info("part-stop", "task", part.task, "graceMs", graceMs, "why", why);
        }
        boolean unused = table.change(part, p -> p.state == PartState.RESERVED && !p.taskMayExist, () -> {});
        if (unused) {
            end(part, PartState.STOPPED, why);
            return;
        }
        long killAtMs = clock.nowMs() + graceMs;
        AtomicBoolean first = new AtomicBoolean();
        table.change(part, HeldPart::live, () -> {
            first.set(part.state != PartState.STOPPING);
            part.killAtMs = first.get() ? killAtMs : Math.min(part.killAtMs, killAtMs);
            part.detail = first.get() ? why : part.detail;
            part.state = PartState.STOPPING;
        });
        if (first.get()) {
            // A task that is still being created can't be stopped for good before that call is done.
            part.preparing.whenComplete((v, t) -> order(part, graceMs));
        }
    }

    private void order(HeldPart part, long graceMs) {
        if (graceMs <= 0) {
            part.killSentMs = clock.nowMs();
        }
        runtime.stop(part.task, graceMs).whenComplete((status, t) -> stopped(part, status, t));
    }

    private void stopped(HeldPart part, TaskStatus status, Throwable t) {
        if (status != null && status.state().ended()) {
            end(part, endOf(status.state()), describe(part, status));
            return;
        }
        if (t != null && PollenreachException.of(t).code() == ResultCode.NOT_FOUND) {
            end(part, PartState.STOPPED, part.detail);
        }
    }

    private static String describe(HeldPart part, TaskStatus status) {
        boolean byItself = status.state() == TaskStatus.State.SUCCEEDED || status.state() == TaskStatus.State.FAILED;
        return byItself || part.detail.isEmpty() ? status.detail() : part.detail;
    }

    private static PartState endOf(TaskStatus.State state) {
        switch (state) {
            case SUCCEEDED:
                return PartState.SUCCEEDED;
            case FAILED:
                return PartState.FAILED;
            default:
                return PartState.STOPPED;
        }
    }

    /** Takes what the runtime says about a part's task. */
    void onTaskStatus(HeldPart part, TaskStatus status) {
        if (status.state().ended()) {
            stopped(part, status, null);
        }
    }

    /** Kills tasks whose grace is over and ends those whose lease has lapsed. */
    void tick() {
        long nowMs = clock.nowMs();
        for (HeldPart part : table.list(p -> p.state == PartState.STOPPING && nowMs >= p.killAtMs)) {
            if (nowMs - part.possibleRenewalMs > AgentTimes.TASK_LEASE_MS + AgentTimes.LEASE_MARGIN_MS) {
                end(part, PartState.STOPPED, part.detail + "; its lease has lapsed");
                continue;
            }
            boolean due = part.killSentMs == 0 || nowMs - part.killSentMs >= AgentTimes.RUNTIME_TIMEOUT_MS;
            if (due && part.preparing.isDone()) {
                order(part, 0);
            }
        }
        grantWaiting();
    }

    /** Ends a part and passes its accelerators on. */
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

    /** Grants the reservations whose turn has come. */
    void grantWaiting() {
        for (HeldPart part : table.grantWaiting()) {
            EVENTS.info("reserve-granted", "task", part.task, "accelerators", part.accelerators);
            part.granted.complete(null);
        }
    }

    /** Completes when all the parts have surely stopped. */
    static CompletableFuture<Void> whenAllEnded(Iterable<HeldPart> parts) {
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        for (HeldPart part : parts) {
            all = all.thenCombine(part.ended, (v, r) -> null);
        }
        return all;
    }
}
