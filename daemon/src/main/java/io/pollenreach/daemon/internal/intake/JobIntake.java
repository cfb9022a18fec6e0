package io.pollenreach.daemon.internal.intake;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

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

    private static final long RETRY_MS = 60;

    /** How long a store that left a write unanswered has to answer a read, in milliseconds. */
    private static final long PROBE_MS = 400;

    private static final Events EVENTS = Events.of(JobIntake.class);

    private final StateStore store;
    private final BooleanSupplier heard;
    private final Clock clock;
    private volatile boolean suspect;

    /**
     * Creates an intake.
     *
     * @param store the store
     * @param heard whether this process hears the store at present
     * @param clock tells the time
     */
    public JobIntake(StateStore store, BooleanSupplier heard, Clock clock) {
        this.store = store;
        this.heard = heard;
        this.clock = clock;
    }

    /**
     * Accepts a job.
     *
     * @return completes once the job is stored; fails with {@code PLATFORM_UNAVAILABLE} when surely nothing was stored,
     *     with {@code WRITE_UNKNOWN} when it may have been, with {@code TOO_LARGE} when no row could hold the job, and
     *     with {@code EXISTS} when another workspace uses the id
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
        Transaction tx = new Transaction().expect(Tables.JOBS, job.id(), 0).write(Tables.JOBS, job.id(), value);
        return answering(job.id())
                .thenCompose(v -> write(tx, Tables.JOBS, job.id(), startMs, false))
                .thenCompose(written -> written
                        ? CompletableFuture.<Void>completedFuture(null)
                        : read(startMs, () -> store.get(Tables.JOBS, job.id()))
                                .thenAccept(row -> requireSameOwner(job, row)))
                .whenComplete((v, t) -> note("job-submitted", job.id(), startMs, t, "queue", job.queue()));
    }

    private static void requireSameOwner(BatchJob job, Optional<StoredRow> row) {
        Optional<JobOwner> owner =
                row.flatMap(r -> RowCodec.fromRow(r, BatchJob.class)).map(BatchJob::owner);
        if (owner.isEmpty() || !owner.get().admits(job.owner())) {
            throw new PollenreachException(
                    ResultCode.EXISTS, "id", "the id " + job.id() + " is in use; nothing was accepted");
        }
    }

    /**
     * Cancels a job.
     *
     * @return whether the caller has such a job; fails as {@link #submit} does
     */
    public CompletableFuture<Boolean> cancel(String id, JobOwner caller) {
        long startMs = clock.nowMs();
        Transaction tx = new Transaction()
                .expect(Tables.CANCELS, id, 0)
                .write(Tables.CANCELS, id, RowCodec.toValue(clock.wallMs()));
        return read(startMs, () -> store.get(Tables.JOBS, id))
                .thenCompose(row -> isAdmitted(row, caller)
                        ? write(tx, Tables.CANCELS, id, startMs, false).thenApply(v -> true)
                        : CompletableFuture.completedFuture(false))
                .whenComplete((known, t) -> note("job-cancelled", id, startMs, t, "known", known));
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
        return call.get().exceptionallyCompose(t -> {
            if (clock.nowMs() - startMs > patienceMs()) {
                return CompletableFuture.failedFuture(t);
            }
            return pause().thenCompose(v -> read(startMs, call));
        });
    }

    /**
     * Writes a row that must not exist yet.
     *
     * @return whether it was written; false if the row exists, by an earlier attempt of this call or by another call
     */
    private CompletableFuture<Boolean> write(
            Transaction tx, String table, String key, long startMs, boolean outcomeUnknown) {
        return store.commit(tx).thenApply(v -> true).exceptionallyCompose(t -> {
            PollenreachException e = PollenreachException.of(t);
            if (e.code() == ResultCode.CONFLICT) {
                return CompletableFuture.completedFuture(false);
            }
            suspect |= e.code() == ResultCode.WRITE_UNKNOWN;
            boolean unsure = outcomeUnknown || e.code() != ResultCode.PLATFORM_UNAVAILABLE;
            if (clock.nowMs() - startMs > patienceMs()) {
                return unsure ? readBack(table, key) : CompletableFuture.failedFuture(e);
            }
            return pause().thenCompose(v -> write(tx, table, key, startMs, unsure));
        });
    }

    /** A process that is cut off refuses at once, since submitters find another one. */
    private long patienceMs() {
        return heard.getAsBoolean() ? PATIENCE_MS : 0;
    }

    private CompletableFuture<Boolean> readBack(String table, String key) {
        return store.get(table, key).handle((Optional<StoredRow> row, Throwable t) -> {
            if (t == null && row.isPresent()) {
                return false;
            }
            throw new PollenreachException(
                    ResultCode.WRITE_UNKNOWN, null, "the store did not confirm the write of " + key, t);
        });
    }

    private static CompletableFuture<Void> pause() {
        long ms = ThreadLocalRandom.current().nextLong(RETRY_MS / 2, RETRY_MS * 2);
        return CompletableFuture.runAsync(() -> {}, CompletableFuture.delayedExecutor(ms, TimeUnit.MILLISECONDS));
    }

    private void note(String event, String id, long startMs, Throwable t, String key, Object value) {
        ResultCode code = t == null ? ResultCode.OK : PollenreachException.of(t).code();
        EVENTS.info(event, "job", id, key, value, "code", code.number(), "ms", clock.nowMs() - startMs);
    }
}
