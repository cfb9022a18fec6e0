package io.pollenreach.daemon.internal.intake;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.daemon.internal.store.Transaction;
import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.intake.Submission;
import io.pollenreach.internal.intake.WriteOutcome;

/**
 * One call that hands in a job: carries out the steps of a {@link Submission}.
 *
 * <p>Used once. Its steps follow each other, so that no two threads use it at the same time.
 */
final class SubmitCall {
    private final StateStore store;
    private final Function<Transaction, CompletableFuture<WriteOutcome>> writer;
    private final BooleanSupplier timeLeft;
    private final BatchJob job;
    private final byte[] value;
    private final Submission submission;

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
        this.writer = writer;
        this.timeLeft = timeLeft;
        this.job = job;
        this.value = value;
        submission = new Submission(job.owner());
    }

    /** Makes the call; completes once the job is stored, and fails with the answer of the {@link Submission} otherwise. */
    CompletableFuture<Void> start() {
        return proceed(Submission.Step.WRITE);
    }

    private CompletableFuture<Void> proceed(Submission.Step step) {
        switch (step) {
            case WRITE:
                Transaction tx =
                        new Transaction().expect(Tables.JOBS, job.id(), 0).write(Tables.JOBS, job.id(), value);
                return writer.apply(tx)
                        .thenApply(outcome -> submission.recordWrite(outcome, timeLeft.getAsBoolean()))
                        .thenCompose(next -> next == Submission.Step.WRITE ? proceedAfterPause(next) : proceed(next));
            case READ:
                return store.get(Tables.JOBS, job.id())
                        .handle((row, t) -> t == null
                                ? submission.recordRead(row.map(SubmitCall::stored), timeLeft.getAsBoolean())
                                : submission.recordFailedRead(timeLeft.getAsBoolean()))
                        .thenCompose(next -> next == Submission.Step.ANSWER ? proceed(next) : proceedAfterPause(next));
            default:
                return answer(submission.answer());
        }
    }

    private CompletableFuture<Void> proceedAfterPause(Submission.Step step) {
        return RetryPause.start().thenCompose(v -> proceed(step));
    }

    private static Submission.StoredJob stored(StoredRow row) {
        return new Submission.StoredJob(RowCodec.fromRow(row, BatchJob.class).map(BatchJob::owner));
    }

    private CompletableFuture<Void> answer(ResultCode code) {
        switch (code) {
            case OK:
                return CompletableFuture.completedFuture(null);
            case EXISTS:
                return failed(code, "the id " + job.id() + " is in use; nothing was accepted");
            case PLATFORM_UNAVAILABLE:
                return failed(code, "the store refused the row of job " + job.id());
            default:
                return failed(code, "the store did not confirm the write of job " + job.id());
        }
    }

    private static CompletableFuture<Void> failed(ResultCode code, String detail) {
        return CompletableFuture.failedFuture(
                new PollenreachException(code, code == ResultCode.EXISTS ? "id" : null, detail));
    }
}
