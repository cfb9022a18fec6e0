package io.pollenreach.daemon.internal.work;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.internal.batch.WorkerReport;

/**
 * Keeps the store's row of a worker up to date, and with it the worker's lease.
 *
 * <p>Invariants: one report is under way at a time; the lease follows only from a report that the store confirmed, and
 * starts at a reading of the worker's clock from before it was sent; a worker that did not answer lately is not
 * reported. For use by the agent's thread.
 */
final class Reporter {
    /** Longest pause between reports, in milliseconds: a worker must outlast a store that is away for five seconds. */
    static final long REPORT_MS = 700;

    /** How long the store may take over a report, in milliseconds; slowed a hundredfold it takes 300 to 400. */
    private static final long WRITE_TIMEOUT_MS = 650;

    /** How long the store may take to tell what it has of a report, in milliseconds. */
    private static final long READ_TIMEOUT_MS = 450;

    /** The same for a worker that runs nothing; the scheduler places on workers that reported within 3.5 s. */
    static final long IDLE_REPORT_MS = 2_500;

    /** A poll that gave no answer this long ago says nothing of the worker any more, in milliseconds. */
    private static final long STALE_POLL_MS = 1_500;

    /** Several times what a report usually takes, in milliseconds. */
    private static final long OVERDUE_MS = 200;

    private static final long RETRY_MS = 150;
    private static final Events EVENTS = Events.of(Reporter.class);

    private final String agent;
    private final Claims claims;
    private final Clock clock;
    private final long leaseMs;
    private final AgentContext context;

    Reporter(String agent, Claims claims, Clock clock, long leaseMs, AgentContext context) {
        this.agent = agent;
        this.claims = claims;
        this.clock = clock;
        this.leaseMs = leaseMs;
        this.context = context;
    }

    /** Tells whether a report has been under way for so long that the lease will have to be extended at once. */
    boolean isOverdue(Incarnation inc) {
        return inc.reporting && clock.nowMs() - inc.reportedMs > OVERDUE_MS;
    }

    /** Sends a report when one is due. */
    void reportWhenDue(Incarnation inc) {
        long nowMs = clock.nowMs();
        boolean left = inc.hasNoWorker();
        boolean heardOfWorker = left || inc.polledMs > 0 && nowMs - inc.polledMs < STALE_POLL_MS;
        long periodMs = inc.runs.idle() ? IDLE_REPORT_MS : REPORT_MS;
        boolean due = inc.reportSoon || !left && nowMs - inc.reportedMs >= periodMs;
        boolean held = inc.reporting || nowMs < inc.reportNotBeforeMs;
        if (held || inc.ordersSeen == 0 || !due || !heardOfWorker || !context.isCurrent(inc)) {
            return;
        }
        inc.reporting = true;
        inc.reportSoon = false;
        inc.reportedMs = nowMs;
        Draft draft =
                new Draft(inc.nextReport(agent, context.newestFacts(), nowMs), inc.runnerClockMs, inc.runs.newestEnd());
        claims.write(inc.rowVersion, draft.report(), WRITE_TIMEOUT_MS)
                .whenComplete((v, t) -> context.execute(() -> sent(inc, draft, v, t)));
    }

    /** A report, with what may be done once the store has it. Immutable. */
    private record Draft(WorkerReport report, long runnerClockMs, long newestEnd) {}

    private void sent(Incarnation inc, Draft draft, Long version, Throwable t) {
        if (!context.isCurrent(inc)) {
            return;
        }
        if (t == null) {
            confirmed(inc, draft, version);
            return;
        }
        PollenreachException e = PollenreachException.of(t);
        EVENTS.warn(
                "report-failed",
                "sequence",
                draft.report().sequence(),
                "code",
                e.code().number(),
                "error",
                e.getMessage());
        if (e.code() == ResultCode.PLATFORM_UNAVAILABLE) {
            inc.reporting = false;
            inc.reportSoon = true;
            // Agents that are refused together must not come back together.
            inc.reportNotBeforeMs = clock.nowMs() + ThreadLocalRandom.current().nextLong(RETRY_MS, 3 * RETRY_MS);
            return;
        }
        context.later(() -> readBack(inc, draft));
    }

    private void confirmed(Incarnation inc, Draft draft, long version) {
        inc.rowVersion = version;
        inc.reporting = false;
        inc.leaseUntilMs = Math.max(inc.leaseUntilMs, draft.runnerClockMs() + leaseMs);
        inc.endsStored = Math.max(inc.endsStored, draft.newestEnd());
        context.stored(inc);
        reportWhenDue(inc);
    }

    private void readBack(Incarnation inc, Draft draft) {
        if (!context.isCurrent(inc)) {
            return;
        }
        claims.stored()
                .orTimeout(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .whenComplete((row, t) -> context.execute(() -> compare(inc, draft, row, t)));
    }

    private void compare(Incarnation inc, Draft draft, Optional<StoredRow> row, Throwable t) {
        if (!context.isCurrent(inc)) {
            return;
        }
        if (t != null) {
            context.later(() -> readBack(inc, draft));
            return;
        }
        long version = row.map(StoredRow::version).orElse(0L);
        if (version == inc.rowVersion) {
            // Not written, or not yet: a late write would then meet a newer version and fail.
            inc.reporting = false;
            inc.reportSoon = true;
            return;
        }
        Optional<WorkerReport> stored = Claims.report(row);
        boolean mine = stored.map(r -> !r.lost()
                        && r.incarnation().equals(inc.id)
                        && r.sequence() == draft.report().sequence())
                .orElse(false);
        if (mine) {
            confirmed(inc, draft, version);
            return;
        }
        EVENTS.warn("claim-lost", "incarnation", inc.id, "lost", stored.map(WorkerReport::lost), "version", version);
        context.claimLost();
    }
}
