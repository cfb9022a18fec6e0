package io.pollenreach.daemon.internal.work;

import java.util.Optional;
import java.util.concurrent.Executor;
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
 * starts at a reading of the worker's clock from before it was sent; a worker that did not answer lately is not reported.
 * For use by the agent's thread.
 */
final class Reporter {
    /** What a reporter needs of its agent. */
    interface Host {
        /** Tells whether a life is the one that the agent speaks for. */
        boolean isCurrent(Life life);

        /** Returns the newest announcement of the worker. */
        RunnerFacts newestFacts();

        /** Takes the news that a report was stored. */
        void stored(Life life);

        /** Takes the news that somebody else has written the worker's row. */
        void claimLost();

        /** Runs something on the agent's thread a little later. */
        void later(Runnable work);
    }

    /** Longest pause between reports, in milliseconds: a worker must outlast a store that is away for five seconds. */
    static final long REPORT_MS = 700;

    /** How long the store may take over a report, in milliseconds; slowed a hundredfold it takes 300 to 400. */
    private static final long WRITE_TIMEOUT_MS = 650;

    /** How long the store may take to tell what it has of a report, in milliseconds. */
    private static final long READ_TIMEOUT_MS = 450;

    /** The same for a worker that runs nothing; the scheduler places on workers that reported within 3.5 s. */
    static final long IDLE_REPORT_MS = 2_500;

    /** A look that gave no answer this long ago says nothing of the worker any more, in milliseconds. */
    private static final long STALE_LOOK_MS = 1_500;

    /** Several times what a report usually takes, in milliseconds. */
    private static final long OVERDUE_MS = 200;

    private static final long RETRY_MS = 150;
    private static final Events EVENTS = Events.of(Reporter.class);

    private final String agent;
    private final Claims claims;
    private final Clock clock;
    private final long leaseMs;
    private final Executor thread;
    private final Host host;

    Reporter(String agent, Claims claims, Clock clock, long leaseMs, Executor thread, Host host) {
        this.agent = agent;
        this.claims = claims;
        this.clock = clock;
        this.leaseMs = leaseMs;
        this.thread = thread;
        this.host = host;
    }

    /** Tells whether a report has been under way for so long that the lease will have to be extended at once. */
    boolean isOverdue(Life l) {
        return l.reporting && clock.nowMs() - l.reportedMs > OVERDUE_MS;
    }

    /** Sends a report when one is due. */
    void reportWhenDue(Life l) {
        long nowMs = clock.nowMs();
        boolean left = l.vacant();
        boolean heardOfWorker = left || l.lookedMs > 0 && nowMs - l.lookedMs < STALE_LOOK_MS;
        long periodMs = l.runs.idle() ? IDLE_REPORT_MS : REPORT_MS;
        boolean due = l.reportSoon || !left && nowMs - l.reportedMs >= periodMs;
        boolean held = l.reporting || nowMs < l.reportNotBeforeMs;
        if (held || l.ordersSeen == 0 || !due || !heardOfWorker || !host.isCurrent(l)) {
            return;
        }
        l.reporting = true;
        l.reportSoon = false;
        l.reportedMs = nowMs;
        Draft draft = new Draft(l.nextReport(agent, host.newestFacts()), l.runnerClockMs, l.runs.newestEnd());
        claims.write(l.rowVersion, draft.report(), WRITE_TIMEOUT_MS)
                .whenCompleteAsync((v, t) -> sent(l, draft, v, t), thread);
    }

    /** A report, with what may be done once the store has it. Immutable. */
    private record Draft(WorkerReport report, long runnerClockMs, long newestEnd) {}

    private void sent(Life l, Draft draft, Long version, Throwable t) {
        if (!host.isCurrent(l)) {
            return;
        }
        if (t == null) {
            confirmed(l, draft, version);
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
            l.reporting = false;
            l.reportSoon = true;
            // Agents that are refused together must not come back together.
            l.reportNotBeforeMs = clock.nowMs() + ThreadLocalRandom.current().nextLong(RETRY_MS, 3 * RETRY_MS);
            return;
        }
        host.later(() -> readBack(l, draft));
    }

    private void confirmed(Life l, Draft draft, long version) {
        l.rowVersion = version;
        l.reporting = false;
        l.leaseUntilMs = Math.max(l.leaseUntilMs, draft.runnerClockMs() + leaseMs);
        l.endsStored = Math.max(l.endsStored, draft.newestEnd());
        host.stored(l);
        reportWhenDue(l);
    }

    private void readBack(Life l, Draft draft) {
        if (!host.isCurrent(l)) {
            return;
        }
        claims.stored()
                .orTimeout(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .whenCompleteAsync((row, t) -> compare(l, draft, row, t), thread);
    }

    private void compare(Life l, Draft draft, Optional<StoredRow> row, Throwable t) {
        if (!host.isCurrent(l)) {
            return;
        }
        if (t != null) {
            host.later(() -> readBack(l, draft));
            return;
        }
        long version = row.map(StoredRow::version).orElse(0L);
        if (version == l.rowVersion) {
            // Not written, or not yet: a late write would then meet a newer version and fail.
            l.reporting = false;
            l.reportSoon = true;
            return;
        }
        Optional<WorkerReport> stored = Claims.report(row);
        boolean mine = stored.map(r -> !r.lost()
                        && r.life().equals(l.id)
                        && r.sequence() == draft.report().sequence())
                .orElse(false);
        if (mine) {
            confirmed(l, draft, version);
            return;
        }
        EVENTS.warn("claim-lost", "life", l.id, "lost", stored.map(WorkerReport::lost), "version", version);
        host.claimLost();
    }
}
