package io.pollenreach.daemon.internal.intake;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.micrometer.core.instrument.MeterRegistry;
import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.daemon.internal.store.Transaction;
import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.batch.JobOwner;
import io.pollenreach.internal.batch.JobPhase;
import io.pollenreach.internal.batch.ProgressRow;
import io.pollenreach.internal.intake.AdmissionControl;
import io.pollenreach.internal.intake.WithdrawalBudget;
import io.pollenreach.internal.intake.WriteOutcome;

/**
 * Takes jobs into the store, cancels them and tells where they stand.
 *
 * <p>Invariants: a job counts as accepted only once its row was confirmed or read back; {@code PLATFORM_UNAVAILABLE} is
 * only said when no attempt of this call can have stored the job; a job that was submitted twice with one id is one
 * job. After a write went unanswered, calls first make sure that the store answers, so that they can be refused truly
 * instead of being left in doubt. Safe for use by many threads.
 */
public final class JobIntake {
    /** How long a call goes on trying while the store fails, in milliseconds; callers come back elsewhere. */
    static final long PATIENCE_MS = 900;

    /** How long a store that left a write unanswered has to answer a read, in milliseconds. */
    private static final long PROBE_MS = 400;

    private static final Events EVENTS = Events.of(JobIntake.class);

    private final StateStore store;
    private final BooleanSupplier heard;
    private final AdmissionGate gate;
    private final Clock clock;
    private final WithdrawalBudget withdrawals = new WithdrawalBudget();
    private volatile boolean suspect;

    /**
     * Creates an intake.
     *
     * @param store the store
     * @param heard whether this process hears the store at present
     * @param admission decides which jobs are refused for load
     * @param clock tells the time
     * @param metrics the registry for metrics
     */
    public JobIntake(
            StateStore store, BooleanSupplier heard, AdmissionControl admission, Clock clock, MeterRegistry metrics) {
        this.store = store;
        this.heard = heard;
        gate = new AdmissionGate(store, admission, metrics);
        this.clock = clock;
    }

    /**
     * Accepts a job.
     *
     * @return completes once the job is stored; fails with {@code PLATFORM_UNAVAILABLE} when surely nothing was stored,
     *     with {@code WRITE_UNKNOWN} when it may have been, with {@code TOO_LARGE} when no row could hold the job, with
     *     {@code EXISTS} when another workspace uses the id, and with {@code ALREADY_CANCELLED} when the workspace
     *     cancelled the id before, and with {@code BACKLOG_TOO_LONG} or {@code NEVER_RUNNABLE} when it was refused
     *     before anything was written
     */
    public CompletableFuture<Void> submit(BatchJob job) {
        long startMs = clock.nowMs();
        byte[] value = RowCodec.toValue(job);
        if (value.length > store.maxRowBytes()) {
            PollenreachException e = new PollenreachException(
                    ResultCode.TOO_LARGE,
                    "steps",
                    "the job has " + value.length + " bytes when stored; the limit is " + store.maxRowBytes());
            note("job-submitted", job.id(), startMs, e, "queue", job.queue());
            return CompletableFuture.failedFuture(e);
        }
        SubmitCall call = new SubmitCall(store, this::commit, () -> hasTimeLeft(startMs), job, value);
        return answering(job.id())
                .thenCompose(v -> gate.pass(job, startMs))
                .thenCompose(v -> call.start())
                .thenAccept(code -> requireAccepted(code, job.id()))
                .whenComplete((v, t) -> note("job-submitted", job.id(), startMs, t, "queue", job.queue()));
    }

    private static void requireAccepted(ResultCode code, String id) {
        switch (code) {
            case OK:
                return;
            case EXISTS:
                throw new PollenreachException(code, "id", "the id " + id + " is in use; nothing was accepted");
            case ALREADY_CANCELLED:
                throw new PollenreachException(code, "id", "the id " + id + " was cancelled; nothing was accepted");
            case PLATFORM_UNAVAILABLE:
                throw new PollenreachException(code, "the store refused the row of job " + id);
            default:
                throw new PollenreachException(code, "the store did not confirm the write of job " + id);
        }
    }

    /**
     * Cancels a job, and keeps one from being stored that is not stored yet.
     *
     * @return whether the caller has such a job; fails with {@code PLATFORM_UNAVAILABLE} when surely nothing was changed,
     *     with {@code WRITE_UNKNOWN} when the job may be cancelled, and with {@code TOO_MANY_CANCELS} when the workspace
     *     has cancelled too many ids without a job
     */
    public CompletableFuture<Boolean> cancel(String id, JobOwner caller) {
        long startMs = clock.nowMs();
        return hasJob(id, caller, startMs)
                .thenCompose(known -> known ? cancelStored(id, startMs) : withdraw(id, caller, startMs))
                .whenComplete((known, t) -> note("job-cancelled", id, startMs, t, "known", known));
    }

    private CompletableFuture<Boolean> hasJob(String id, JobOwner caller, long startMs) {
        return read(startMs, () -> store.get(Tables.JOBS, id)).thenApply(row -> isAdmitted(row, caller));
    }

    private CompletableFuture<Boolean> cancelStored(String id, long startMs) {
        Transaction tx = new Transaction()
                .expect(Tables.CANCELS, id, 0)
                .write(Tables.CANCELS, id, RowCodec.toValue(clock.wallMs()));
        // The one condition is that there is no such row, so a write that fails it finds the job cancelled.
        ConditionalWrite write = new ConditionalWrite(
                t -> commit(t).thenApply(o -> o == WriteOutcome.CONDITION_FAILED ? WriteOutcome.APPLIED : o),
                () -> hasTimeLeft(startMs),
                () -> tx,
                () -> store.get(Tables.CANCELS, id).thenApply(row -> row.map(r -> ResultCode.OK)));
        return write.start().thenApply(code -> requireCancelled(code, id)).thenApply(v -> true);
    }

    /**
     * Confirms that a job is absent: keeps its write from taking effect later, and reads once more, since it may have taken
     * effect just before.
     */
    private CompletableFuture<Boolean> withdraw(String id, JobOwner caller, long startMs) {
        if (!withdrawals.tryTake(caller, startMs)) {
            return CompletableFuture.failedFuture(new PollenreachException(
                    ResultCode.TOO_MANY_CANCELS,
                    "the workspace cancelled more than " + WithdrawalBudget.BURST + " ids that have no job"));
        }
        return new WithdrawCall(store, this::commit, () -> hasTimeLeft(startMs), id, caller)
                .start()
                .thenApply(code -> requireCancelled(code, id))
                .thenCompose(v -> confirmAbsent(id, caller, startMs));
    }

    private CompletableFuture<Boolean> confirmAbsent(String id, JobOwner caller, long startMs) {
        return hasJob(id, caller, startMs)
                .thenCompose(known -> known ? cancelStored(id, startMs) : CompletableFuture.completedFuture(false))
                .exceptionallyCompose(t -> CompletableFuture.failedFuture(new PollenreachException(
                        ResultCode.WRITE_UNKNOWN,
                        null,
                        "the id " + id + " was withdrawn, but whether it has a job was not read",
                        t)));
    }

    private static Void requireCancelled(ResultCode code, String id) {
        if (code != ResultCode.OK) {
            throw new PollenreachException(code, "the cancellation of job " + id + " was not stored");
        }
        return null;
    }

    private static boolean isAdmitted(Optional<StoredRow> job, JobOwner caller) {
        return job.flatMap(r -> RowCodec.fromRow(r, BatchJob.class))
                .filter(j -> j.owner().admits(caller))
                .isPresent();
    }

    /** Returns where a job stands; empty if the caller has no such job, whether or not another one has. */
    public CompletableFuture<Optional<JobPhase>> phase(String id, JobOwner caller) {
        long startMs = clock.nowMs();
        return read(startMs, () -> store.get(Tables.PROGRESS, id))
                .thenCompose(row -> {
                    Optional<ProgressRow> progress = row.map(r -> RowCodec.fromRow(r, ProgressRow.class)
                            .orElseThrow(() -> new PollenreachException(ResultCode.INTERNAL, "unreadable row " + id)));
                    JobOwner owner = progress.map(ProgressRow::owner).orElse(null);
                    if (owner != null && owner.admits(caller)) {
                        return CompletableFuture.completedFuture(progress.map(ProgressRow::phase));
                    }
                    // Also read for a job of others, so that the time of the answer does not tell it from an unknown
                    // one.
                    return read(startMs, () -> store.get(Tables.JOBS, id)).thenApply(job -> Optional.of(
                                    progress.map(ProgressRow::phase).orElse(JobPhase.QUEUED))
                            .filter(p -> isAdmitted(job, caller)));
                })
                .whenComplete((phase, t) -> note(
                        "job-asked",
                        id,
                        startMs,
                        t,
                        "phase",
                        phase == null ? "" : phase.map(JobPhase::name).orElse("unknown")));
    }

    private CompletableFuture<Void> answering(String id) {
        if (!suspect && heard.getAsBoolean()) {
            return CompletableFuture.completedFuture(null);
        }
        return store.get(Tables.JOBS, id)
                .orTimeout(PROBE_MS, TimeUnit.MILLISECONDS)
                .handle((row, t) -> {
                    if (t != null) {
                        throw new PollenreachException(
                                ResultCode.PLATFORM_UNAVAILABLE,
                                null,
                                "the store does not answer; nothing was sent",
                                t);
                    }
                    suspect = false;
                    return null;
                });
    }

    private <T> CompletableFuture<T> read(long startMs, Supplier<CompletableFuture<T>> call) {
        return call.get()
                .exceptionallyCompose(t -> hasTimeLeft(startMs)
                        ? RetryPause.start().thenCompose(v -> read(startMs, call))
                        : CompletableFuture.failedFuture(t));
    }

    private CompletableFuture<WriteOutcome> commit(Transaction tx) {
        return store.commit(tx).handle((version, t) -> {
            if (t == null) {
                return WriteOutcome.APPLIED;
            }
            ResultCode code = PollenreachException.of(t).code();
            suspect |= code == ResultCode.WRITE_UNKNOWN;
            return WriteOutcome.ofFailure(code);
        });
    }

    /** Tells whether a call may go on trying; a process that is cut off refuses at once, as callers find another one. */
    private boolean hasTimeLeft(long startMs) {
        return clock.nowMs() - startMs <= (heard.getAsBoolean() ? PATIENCE_MS : 0);
    }

    private void note(String event, String id, long startMs, Throwable t, String key, Object value) {
        ResultCode code = t == null ? ResultCode.OK : PollenreachException.of(t).code();
        EVENTS.info(event, "job", id, key, value, "code", code.number(), "ms", clock.nowMs() - startMs);
    }
}
