package io.pollenreach.daemon.internal.entry;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.daemon.internal.entry.GangClient.PartResult;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.jobs.PartView;
import io.pollenreach.internal.jobs.StopReason;
import io.pollenreach.internal.jobs.Supervision;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.PartState;

/**
 * Supervises placed jobs: records success, stops attempts that cannot succeed, and records the end of stopped ones.
 *
 * <p>Invariants: a job leaves STOPPING only after each agent has confirmed that its part has ended and cannot run
 * again, or after the lease of the part's task has expired; at most one step per job is in progress. Safe for use by
 * many threads.
 */
final class Supervisor {
    /** How long a part has to checkpoint when it is stopped, in milliseconds. */
    static final long STOP_GRACE_MS = 1_000;

    private static final Events EVENTS = Events.of(Supervisor.class);

    private final JobStore store;
    private final GangClient gangs;
    private final PartViews views;
    private final Clock clock;
    private final Set<String> inProgress = ConcurrentHashMap.newKeySet();
    private final Map<String, String> lastWarnings = new ConcurrentHashMap<>();

    Supervisor(JobStore store, GangClient gangs, PartViews views, Clock clock) {
        this.store = store;
        this.gangs = gangs;
        this.views = views;
        this.clock = clock;
    }

    /** Carries out the next step for a placed job, unless a step for it is in progress. */
    CompletableFuture<Void> supervise(JobRow row) {
        if (!inProgress.add(row.key())) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<Void> done;
        try {
            done = carryOut(row);
        } catch (RuntimeException e) {
            done = CompletableFuture.failedFuture(e);
        }
        return done.whenComplete((v, t) -> {
            inProgress.remove(row.key());
            if (t != null) {
                PollenreachException e = PollenreachException.of(t);
                warnOnce("supervision-failed", row, e.code().number() + " " + e.getMessage());
            }
        });
    }

    private CompletableFuture<Void> carryOut(JobRow row) {
        List<PartView> parts = views.of(row);
        Supervision.Step step = Supervision.next(row.record(), parts, views.observedMs(row));
        switch (step) {
            case SUCCEED:
                return succeed(row);
            case RELEASE:
                return release(row, parts);
            case STOP_TASK_FAILED:
                return stop(row, StopReason.TASK_FAILED, parts);
            case STOP_PART_LOST:
                return stop(row, StopReason.PART_LOST, parts);
            case STOP_NOT_STARTED:
                return stop(row, StopReason.NOT_STARTED, parts);
            case CONFIRM_STOPPED:
                return confirmStopped(row);
            default:
                return CompletableFuture.completedFuture(null);
        }
    }

    private CompletableFuture<Void> succeed(JobRow row) {
        long wallMs = clock.wallMs();
        return store.update(row, j -> j.succeed(wallMs)).thenAccept(this::logAttemptEnd);
    }

    private CompletableFuture<Void> release(JobRow row, List<PartView> views) {
        List<Part> held = row.record().parts().stream()
                .filter(p -> views.get(p.rank()) == PartView.PREPARED)
                .toList();
        return gangs.release(row.record().attemptId(), held).thenApply(r -> null);
    }

    private CompletableFuture<Void> stop(JobRow row, StopReason reason, List<PartView> parts) {
        EVENTS.info(
                "job-stopping", "job", row.key(), "attempt", row.record().attempt(), "reason", reason, "parts", parts);
        return store.update(row, j -> j.stop(reason, reason + " " + parts)).thenCompose(this::confirmStopped);
    }

    private CompletableFuture<Void> confirmStopped(JobRow row) {
        JobRecord job = row.record();
        return gangs.stop(job.attemptId(), job.parts(), STOP_GRACE_MS).thenCompose(results -> {
            List<PartResult> unconfirmed =
                    results.stream().filter(r -> !hasStopped(r)).toList();
            if (!unconfirmed.isEmpty()) {
                warnOnce("stop-not-confirmed", row, "attempt " + job.attempt() + " at " + workers(unconfirmed));
                return CompletableFuture.<Void>completedFuture(null);
            }
            return recordEnd(row, results);
        });
    }

    private boolean hasStopped(PartResult r) {
        boolean confirmed = r.report().filter(a -> a.state().ended()).isPresent();
        return confirmed || views.leaseExpired(r.part());
    }

    private CompletableFuture<Void> recordEnd(JobRow row, List<PartResult> results) {
        long wallMs = clock.wallMs();
        boolean succeeded = results.stream()
                .allMatch(r ->
                        r.report().filter(a -> a.state() == PartState.SUCCEEDED).isPresent());
        return store.update(row, j -> succeeded ? j.succeed(wallMs) : j.confirmStopped(wallMs))
                .thenAccept(this::logAttemptEnd);
    }

    /** Logs a warning unless it repeats the job's last one: every planning cycle meets the same failure again. */
    private void warnOnce(String event, JobRow row, String detail) {
        if (!detail.equals(lastWarnings.put(row.key(), detail))) {
            EVENTS.warn(event, "job", row.key(), "detail", detail);
        }
    }

    private void logAttemptEnd(JobRow row) {
        JobRecord job = row.record();
        lastWarnings.remove(row.key());
        EVENTS.info(
                "attempt-ended",
                "job",
                row.key(),
                "attempt",
                job.attempt(),
                "state",
                job.state(),
                "code",
                job.code(),
                "detail",
                job.detail());
    }

    private static List<String> workers(List<PartResult> results) {
        return results.stream().map(r -> r.part().worker()).toList();
    }
}
