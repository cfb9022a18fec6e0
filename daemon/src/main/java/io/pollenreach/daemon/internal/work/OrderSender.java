package io.pollenreach.daemon.internal.work;

import java.util.Optional;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.evacuation.EvacuationGuard;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.internal.batch.TaskRun;
import io.pollenreach.internal.batch.WorkerOrders;

/**
 * Sends a worker the orders to start and to stop runs.
 *
 * <p>Invariants: nothing is started on a draining worker, under a lease that is about to end, once another process
 * answered in the worker's place, while nothing listens there, or without a recent reading that the worker's availability
 * zone is not under evacuation; no more orders are in flight than the worker answers in time, so that the poll which extends
 * its lease never waits behind them. For use by the agent's thread.
 */
final class OrderSender {
    /** The shortest lease with which an order to start is worth sending, in milliseconds. */
    private static final long MIN_LEASE_MS = 500;

    private static final long RETRY_MS = 150;
    private static final Events EVENTS = Events.of(OrderSender.class);

    private final TaskRunner runner;
    private final JobPayloads payloads;
    private final Clock clock;
    private final Reporter reporter;
    private final AgentContext context;
    private final Optional<EvacuationGuard> guard;

    OrderSender(
            TaskRunner runner,
            JobPayloads payloads,
            Optional<EvacuationGuard> guard,
            Clock clock,
            Reporter reporter,
            AgentContext context) {
        this.runner = runner;
        this.payloads = payloads;
        this.guard = guard;
        this.clock = clock;
        this.reporter = reporter;
        this.context = context;
    }

    /** Sends the orders that are due, as many as the worker may have at a time. */
    void send(Incarnation inc) {
        if (!context.isCurrent(inc)) {
            return;
        }
        long nowMs = clock.nowMs();
        for (TaskRun run : inc.runs.toStop(nowMs, inc.roomForOrders())) {
            inc.beginOrder();
            runner.stop(inc.authority(), run)
                    .whenComplete((v, t) -> context.execute(() -> stopAnswered(inc, run, nowMs, t)));
        }
        if (!mayStart(inc, nowMs)) {
            return;
        }
        for (WorkerOrders.OrderedRun order : inc.runs.toStart(nowMs, inc.roomForOrders())) {
            if (context.newestFacts().draining()) {
                abandon(inc, order.run());
                continue;
            }
            inc.beginOrder();
            if (order.payloadInJob()) {
                payloads.read(order).whenComplete((o, t) -> context.execute(() -> payloadRead(inc, order.run(), o, t)));
            } else {
                start(inc, order);
            }
        }
    }

    private static boolean mayStart(Incarnation inc, long nowMs) {
        // A start could otherwise reach the next process at the address, which has seen no fencing token yet.
        boolean mayBeAnother = inc.replaced || inc.refusedPolls.isPending();
        return !mayBeAnother && inc.leaseUntilMs - inc.runnerClockMs - (nowMs - inc.polledMs) >= MIN_LEASE_MS;
    }

    private static void abandon(Incarnation inc, TaskRun run) {
        inc.runs.abandon(run);
        inc.reportSoon = true;
    }

    private void payloadRead(Incarnation inc, TaskRun run, WorkerOrders.OrderedRun order, Throwable t) {
        if (isDue(inc, run) && t == null) {
            start(inc, order);
            return;
        }
        inc.endOrder();
        if (!isDue(inc, run)) {
            return;
        }
        PollenreachException e = PollenreachException.of(t);
        EVENTS.failure("payload-unread", "run", run, e);
        if (e.code() == ResultCode.NOT_FOUND) {
            abandon(inc, run);
        } else {
            inc.runs.startFailed(run, clock.nowMs());
        }
    }

    // A run that was stopped while something was read may already be at work elsewhere.
    private boolean isDue(Incarnation inc, TaskRun run) {
        return context.isCurrent(inc) && inc.runs.isStarting(run);
    }

    private void start(Incarnation inc, WorkerOrders.OrderedRun order) {
        if (guard.isEmpty()) {
            sendStart(inc, order);
            return;
        }
        String zone = context.newestFacts().zone();
        guard.get().read(zone).whenComplete((r, t) -> context.execute(() -> zoneRead(inc, order, zone, r, t)));
    }

    private void zoneRead(
            Incarnation inc, WorkerOrders.OrderedRun order, String zone, EvacuationGuard.Reading reading, Throwable t) {
        if (isDue(inc, order.run()) && mayStartIn(inc, order.run(), zone, reading, t)) {
            sendStart(inc, order);
        } else {
            inc.endOrder();
        }
    }

    /** Tells whether a run may start by a reading of its zone; otherwise gives it up or puts it off. */
    private boolean mayStartIn(
            Incarnation inc, TaskRun run, String zone, EvacuationGuard.Reading reading, Throwable t) {
        EvacuationGuard evacuations = guard.orElseThrow();
        if (t == null && reading.evacuated()) {
            evacuations.noteRefused(run, zone);
            abandon(inc, run);
            reporter.reportWhenDue(inc);
            return false;
        }
        if (t != null || !evacuations.isRecent(reading)) {
            PollenreachException why = t == null ? evacuations.tooOld(reading) : PollenreachException.of(t);
            evacuations.noteHeld(run, zone, why);
            inc.runs.startHeld(run, clock.nowMs() + RETRY_MS);
            return false;
        }
        if (!mayStart(inc, clock.nowMs()) || context.newestFacts().draining()) {
            inc.runs.startHeld(run, clock.nowMs());
            return false;
        }
        evacuations.noteAllowed();
        return true;
    }

    private void sendStart(Incarnation inc, WorkerOrders.OrderedRun order) {
        long sentMs = clock.nowMs();
        runner.start(inc.authority(), order, inc.leaseUntilMs)
                .whenComplete((o, t) -> context.execute(() -> startAnswered(inc, order.run(), sentMs, o, t)));
    }

    private void startAnswered(
            Incarnation inc, TaskRun run, long sentMs, TaskRunner.StartOutcome outcome, Throwable t) {
        if (!context.isCurrent(inc)) {
            return;
        }
        inc.recordAnswer(clock.nowMs() - sentMs, t);
        inc.endOrder();
        recordStart(inc, run, outcome, t);
        send(inc);
    }

    private void recordStart(Incarnation inc, TaskRun run, TaskRunner.StartOutcome outcome, Throwable t) {
        if (t != null) {
            PollenreachException e = PollenreachException.of(t);
            EVENTS.failure("start-unanswered", "run", run, e);
            if (e.code() == ResultCode.STALE_ATTEMPT) {
                context.claimLost();
                return;
            }
            inc.noteFailure(e);
            inc.runs.startFailed(run, clock.nowMs());
            return;
        }
        EVENTS.info("start-answered", "task", run.task(), "run", run.run(), "outcome", outcome);
        switch (outcome) {
                // An end that the worker has yet to list tells how a run that is over went.
            case STARTED, OVER -> inc.runs.started(run);
            case LEASE_OVER -> {
                inc.runs.startFailed(run, clock.nowMs());
                inc.reportSoon = true;
            }
            default -> abandon(inc, run);
        }
        reporter.reportWhenDue(inc);
    }

    private void stopAnswered(Incarnation inc, TaskRun run, long sentMs, Throwable t) {
        if (!context.isCurrent(inc)) {
            return;
        }
        inc.recordAnswer(clock.nowMs() - sentMs, t);
        inc.endOrder();
        recordStop(inc, run, t);
        send(inc);
    }

    private void recordStop(Incarnation inc, TaskRun run, Throwable t) {
        if (t == null) {
            EVENTS.info("stop-answered", "task", run.task(), "run", run.run());
            inc.runs.stopped(run, clock.nowMs());
            return;
        }
        PollenreachException e = PollenreachException.of(t);
        EVENTS.failure("stop-unanswered", "run", run, e);
        if (e.code() == ResultCode.STALE_ATTEMPT) {
            context.claimLost();
            return;
        }
        inc.noteFailure(e);
        inc.runs.stopFailed(run, clock.nowMs());
    }
}
