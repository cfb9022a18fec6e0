package io.pollenreach.daemon.internal.entry;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.daemon.internal.entry.Gangs.PartResult;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.jobs.PartView;
import io.pollenreach.internal.jobs.StopReason;
import io.pollenreach.internal.jobs.Supervision;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.PartState;

/**
 * Moves placed jobs on: records success, stops what is broken, settles what has stopped.
 *
 * <p>Invariants: a job leaves STOPPING only when each agent has confirmed that its part runs no more and never will, or
 * the part's lease has surely lapsed; one step at a time is under way for a job. Safe for use by many threads.
 */
final class Supervisor {
    /** How long a part that is stopped has to checkpoint, in milliseconds. */
    static final long STOP_GRACE_MS = 1_000;

    private static final Events EVENTS = Events.of(Supervisor.class);

    private final JobStore store;
    private final Gangs gangs;
    private final PartViews views;
    private final Clock clock;
    private final Set<String> busy = ConcurrentHashMap.newKeySet();
    private final Map<String, String> lastTroubles = new ConcurrentHashMap<>();

    Supervisor(JobStore store, Gangs gangs, PartViews views, Clock clock) {
        this.store = store;
        this.gangs = gangs;
        this.views = views;
        this.clock = clock;
    }

    /** Takes the next step for a placed job, unless one is under way. */
    CompletableFuture<Void> step(JobRow row) {
        if (!busy.add(row.key())) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<Void> done;
        try {
            done = carryOut(row);
        } catch (RuntimeException e) {
            done = CompletableFuture.failedFuture(e);
        }
        return done.whenComplete((v, t) -> {
            busy.remove(row.key());
            if (t != null) {
                PollenreachException e = PollenreachException.of(t);
                warnOnce("supervision-failed", row, e.code().number() + " " + e.getMessage());
            }
        });
    }

    private CompletableFuture<Void> carryOut(JobRow row) {
        List<PartView> parts = views.of(row);
        Supervision.Step step = Supervision.next(row.record(), parts, clock.nowMs() - row.seenAtMs());
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
        long wall = clock.wallMs();
        return store.update(row, j -> j.succeed(wall)).thenAccept(this::logEnd);
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
            List<PartResult> open = results.stream().filter(r -> !stopped(r)).toList();
            if (!open.isEmpty()) {
                warnOnce("stop-not-confirmed", row, "attempt " + job.attempt() + " at " + workers(open));
                return CompletableFuture.<Void>completedFuture(null);
            }
            return settle(row, results);
        });
    }

    private boolean stopped(PartResult r) {
        boolean confirmed = r.answer().filter(a -> a.state().ended()).isPresent();
        return confirmed || views.lapsed(r.part().worker());
    }

    private CompletableFuture<Void> settle(JobRow row, List<PartResult> results) {
        long wall = clock.wallMs();
        boolean succeeded = results.stream()
                .allMatch(r ->
                        r.answer().filter(a -> a.state() == PartState.SUCCEEDED).isPresent());
        return store.update(row, j -> succeeded ? j.succeed(wall) : j.settle(wall))
                .thenAccept(this::logEnd);
    }

    /** Logs a trouble when it is not the job's last one, since each round meets it again. */
    private void warnOnce(String event, JobRow row, String detail) {
        if (!detail.equals(lastTroubles.put(row.key(), detail))) {
            EVENTS.warn(event, "job", row.key(), "detail", detail);
        }
    }

    private void logEnd(JobRow row) {
        JobRecord job = row.record();
        lastTroubles.remove(row.key());
        EVENTS.info(
                "job-settled",
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
