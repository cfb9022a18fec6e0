package io.pollenreach.daemon.internal.intake;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.daemon.internal.store.Transaction;
import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.intake.SubmissionRows;
import io.pollenreach.internal.intake.Withdrawal;
import io.pollenreach.internal.intake.WriteOutcome;

/**
 * Writes the row of a job, unless its id is in use or its owner has cancelled it.
 *
 * <p>Used once. Its steps follow each other, so that no two threads use it at the same time.
 */
final class SubmitCall {
    private final StateStore store;
    private final BatchJob job;
    private final byte[] value;
    private final ConditionalWrite write;
    /** The version of the withdrawal that was read last; 0 if there was none. */
    private long withdrawalVersion;

    /**
     * Creates a call that has sent nothing yet.
     *
     * @param store the store to read from
     * @param writer writes to the store; its futures never fail
     * @param timeLeft whether the call may go on trying
     * @param job the job
     * @param value the job as the value of its row
     */
    SubmitCall(
            StateStore store,
            Function<Transaction, CompletableFuture<WriteOutcome>> writer,
            BooleanSupplier timeLeft,
            BatchJob job,
            byte[] value) {
        this.store = store;
        this.job = job;
        this.value = value;
        write = new ConditionalWrite(writer, timeLeft, this::transaction, this::read);
    }

    /** Makes the call; returns its answer. */
    CompletableFuture<ResultCode> start() {
        return write.start();
    }

    private Transaction transaction() {
        return new Transaction()
                .expect(Tables.JOBS, job.id(), 0)
                .expect(Tables.WITHDRAWN, job.id(), withdrawalVersion)
                .write(Tables.JOBS, job.id(), value);
    }

    private CompletableFuture<Optional<ResultCode>> read() {
        return readJob().thenCompose(job -> job.isPresent() ? verdict(Withdrawal.NONE, job) : readWithdrawal());
    }

    private CompletableFuture<Optional<ResultCode>> readWithdrawal() {
        return store.get(Tables.WITHDRAWN, job.id()).thenCompose(row -> {
            withdrawalVersion = row.map(StoredRow::version).orElse(0L);
            Withdrawal withdrawal = WithdrawCall.withdrawal(row);
            return readJob().thenCompose(found -> verdict(withdrawal, found));
        });
    }

    private CompletableFuture<Optional<SubmissionRows.StoredJob>> readJob() {
        return store.get(Tables.JOBS, job.id()).thenApply(row -> row.map(SubmitCall::stored));
    }

    private CompletableFuture<Optional<ResultCode>> verdict(
            Withdrawal withdrawal, Optional<SubmissionRows.StoredJob> found) {
        return CompletableFuture.completedFuture(new SubmissionRows(withdrawal, found).verdictFor(job.owner()));
    }

    private static SubmissionRows.StoredJob stored(StoredRow row) {
        return new SubmissionRows.StoredJob(
                RowCodec.fromRow(row, BatchJob.class).map(BatchJob::owner));
    }
}
