package io.pollenreach.daemon.internal.intake;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.store.Transaction;
import io.pollenreach.internal.intake.PendingWrite;
import io.pollenreach.internal.intake.WriteOutcome;

/**
 * Carries out the steps of a {@link PendingWrite}.
 *
 * <p>Used once. Its steps follow each other, so that no two threads use it at the same time.
 */
final class ConditionalWrite {
    private final Function<Transaction, CompletableFuture<WriteOutcome>> writer;
    private final BooleanSupplier timeLeft;
    private final Supplier<Transaction> transaction;
    private final Supplier<CompletableFuture<Optional<ResultCode>>> reader;
    private final PendingWrite progress = new PendingWrite();

    /**
     * Creates a call that has sent nothing yet.
     *
     * @param writer writes to the store; its futures never fail
     * @param timeLeft whether the call may go on trying
     * @param transaction returns the write, under the condition that follows from what was read last
     * @param reader reads what the condition is about and returns its verdict
     */
    ConditionalWrite(
            Function<Transaction, CompletableFuture<WriteOutcome>> writer,
            BooleanSupplier timeLeft,
            Supplier<Transaction> transaction,
            Supplier<CompletableFuture<Optional<ResultCode>>> reader) {
        this.writer = writer;
        this.timeLeft = timeLeft;
        this.transaction = transaction;
        this.reader = reader;
    }

    /** Makes the call; returns its answer. */
    CompletableFuture<ResultCode> start() {
        return proceed(PendingWrite.Step.WRITE);
    }

    private CompletableFuture<ResultCode> proceed(PendingWrite.Step step) {
        switch (step) {
            case WRITE:
                return writer.apply(transaction.get())
                        .thenApply(outcome -> progress.recordWrite(outcome, timeLeft.getAsBoolean()))
                        .thenCompose(next -> next == PendingWrite.Step.WRITE ? proceedAfterPause(next) : proceed(next));
            case READ:
                return reader.get()
                        .handle((verdict, t) -> t == null
                                ? progress.recordRead(verdict, timeLeft.getAsBoolean())
                                : progress.recordFailedRead(timeLeft.getAsBoolean()))
                        .thenCompose(
                                next -> next == PendingWrite.Step.ANSWER ? proceed(next) : proceedAfterPause(next));
            default:
                return CompletableFuture.completedFuture(progress.answer());
        }
    }

    private CompletableFuture<ResultCode> proceedAfterPause(PendingWrite.Step step) {
        return RetryPause.start().thenCompose(v -> proceed(step));
    }
}
