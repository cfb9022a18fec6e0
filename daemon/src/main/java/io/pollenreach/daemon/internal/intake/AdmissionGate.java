package io.pollenreach.daemon.internal.intake;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.MeterRegistry;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.batch.TaskBudget;
import io.pollenreach.internal.intake.AdmissionControl;
import io.pollenreach.internal.intake.AdmissionVerdict;

/**
 * Refuses jobs that cannot be of use to their callers, before anything of them is written.
 *
 * <p>Invariant: a refusal says that the job never runs, so it is only given once the store has shown that the id has no
 * job: one may have been accepted by an earlier call whose answer was lost. A job whose id could not be read is let
 * through. Safe for use by many threads.
 */
final class AdmissionGate {
    /** How long the store may take to tell that an id has no job, in milliseconds; callers are to be refused at once. */
    private static final long READ_MS = 400;

    private static final Events EVENTS = Events.of(AdmissionGate.class);

    private final StateStore store;
    private final AdmissionControl control;
    private final MeterRegistry metrics;

    AdmissionGate(StateStore store, AdmissionControl control, MeterRegistry metrics) {
        this.store = store;
        this.control = control;
        this.metrics = metrics;
    }

    /** Completes if the job is to be stored; fails with the result code of the refusal otherwise. */
    CompletableFuture<Void> pass(BatchJob job, long nowMs) {
        AdmissionControl.Decision decision = control.decide(job, nowMs);
        if (!decision.verdict().isRefusal()) {
            return CompletableFuture.completedFuture(null);
        }
        return store.get(Tables.JOBS, job.id())
                .orTimeout(READ_MS, TimeUnit.MILLISECONDS)
                .handle((row, t) -> t == null && row.isEmpty())
                .thenAccept(absent -> {
                    if (absent) {
                        throw refusal(job, decision);
                    }
                });
    }

    private PollenreachException refusal(BatchJob job, AdmissionControl.Decision decision) {
        AdmissionVerdict verdict = decision.verdict();
        String reason = verdict.reason().name();
        metrics.counter("pollenreach.jobs.refused", "reason", reason).increment();
        ResultCode code = verdict.reason().refusal().orElseThrow();
        EVENTS.info(
                "job-refused",
                "job",
                job.id(),
                "queue",
                job.queue(),
                "workspace",
                job.workspace(),
                "code",
                code.number(),
                "reason",
                reason,
                "expectedWaitMs",
                verdict.expectedWaitMs(),
                "leftMs",
                verdict.leftMs(),
                "backlogAgeMs",
                decision.backlogAgeMs(),
                "retryAfterS",
                verdict.retryAfterS().isPresent() ? verdict.retryAfterS().getAsInt() : "none");
        return PollenreachException.refusal(code, detail(job, verdict), verdict.retryAfterS());
    }

    private static String detail(BatchJob job, AdmissionVerdict verdict) {
        switch (verdict.reason()) {
            case NEVER_FITS:
                return "a task of job " + job.id() + " needs more than any worker of pool " + job.pool() + " has had";
            case TOO_MANY_TASKS:
                return "job " + job.id() + " has " + job.tasksPerOccurrence() + " tasks; the scheduler keeps "
                        + TaskBudget.MAX_TASKS + " of all workspaces, and each may have as many as all leave unused";
            default:
                return "job " + job.id() + " would wait about " + verdict.expectedWaitMs() + " ms for room in pool "
                        + job.pool() + ", and is of no use after a wait of " + verdict.leftMs() + " ms";
        }
    }
}
