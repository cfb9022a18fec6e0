package io.pollenreach.daemon.internal.entry;

import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.internal.membership.TargetTable;
import io.pollenreach.internal.routing.HedgePolicy;
import io.pollenreach.internal.routing.RetryBudget;
import io.pollenreach.internal.routing.ServiceTimeEstimator;

/**
 * Sends a second copy of an idempotent request when its runner is much slower than usual or unresponsive.
 *
 * <p>Invariants: a request that may run only once is never copied; there are at most two copies in flight; copies count
 * against the retry budget. Safe for use by many threads.
 */
final class Hedging {
    /** Delay after which a runner that froze just before a send is known to be unresponsive. */
    static final long HEARTBEAT_CHECK_DELAY_MS = TargetTable.TARGET_SILENCE_MS + 500;

    private static final Events EVENTS = Events.of(Hedging.class);

    private final HedgePolicy policy = new HedgePolicy();
    private final Blackboard board;
    private final ServiceTimeEstimator serviceTimes;
    private final RetryBudget budget;
    private final Clock clock;
    private final ScheduledExecutorService timer;

    Hedging(
            Blackboard board,
            ServiceTimeEstimator serviceTimes,
            RetryBudget budget,
            Clock clock,
            ScheduledExecutorService timer) {
        this.board = board;
        this.serviceTimes = serviceTimes;
        this.budget = budget;
        this.clock = clock;
        this.timer = timer;
    }

    /** Watches one send of an idempotent request; {@code copy} runs when a second copy is due. */
    void watch(PendingRequest p, String runner, Runnable copy) {
        CallerRequest r = p.request();
        if (!r.idempotent()) {
            return;
        }
        long left = r.deadlineAtMs() - clock.nowMs();
        OptionalLong slow = policy.delayMs(serviceTimes, r.workspace(), r.path(), true, left);
        slow.ifPresent(ms -> schedule(p, ms, () -> hedge(p, runner, "slow", copy)));
        schedule(p, HEARTBEAT_CHECK_DELAY_MS, () -> checkHeartbeat(p, runner, copy));
    }

    private void schedule(PendingRequest p, long delayMs, Runnable check) {
        p.cancelWhenAnswered(timer.schedule(check, delayMs, TimeUnit.MILLISECONDS));
    }

    private void checkHeartbeat(PendingRequest p, String runner, Runnable copy) {
        boolean unresponsive = board.targets()
                .heardMs(runner)
                .filter(ms -> clock.nowMs() - ms < TargetTable.TARGET_SILENCE_MS)
                .isEmpty();
        if (unresponsive) {
            hedge(p, runner, "silent", copy);
        }
    }

    private void hedge(PendingRequest p, String runner, String why, Runnable copy) {
        if (p.response().isDone() || p.inFlight() != 1 || !budget.tryAcquire()) {
            return;
        }
        EVENTS.info("hedge", "request", p.request().key(), "runner", runner, "why", why);
        copy.run();
    }
}
