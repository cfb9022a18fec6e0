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
import io.pollenreach.internal.batch.JobOwner;
import io.pollenreach.internal.intake.Withdrawal;
import io.pollenreach.internal.intake.WriteOutcome;

/**
 * Adds a caller to the withdrawal of an id, so that no write of its job that is still under way takes effect.
 *
 * <p>Used once. Its steps follow each other, so that no two threads use it at the same time.
 */
final class WithdrawCall {
    private final StateStore store;
    private final String id;
    private final JobOwner caller;
    private final ConditionalWrite write;
    /** The row that was read last, and its version; 0 if there was none. */
    private Withdrawal known = Withdrawal.NONE;

    private long knownVersion;

    /**
     * Creates a call that has sent nothing yet.
     *
     * @param store the store to read from
     * @param writer writes to the store; its futures never fail
     * @param timeLeft whether the call may go on trying
     * @param id the id to withdraw
     * @param caller who withdraws it
     */
    WithdrawCall(
            StateStore store,
            Function<Transaction, CompletableFuture<WriteOutcome>> writer,
            BooleanSupplier timeLeft,
            String id,
            JobOwner caller) {
        this.store = store;
        this.id = id;
        this.caller = caller;
        write = new ConditionalWrite(writer, timeLeft, this::transaction, this::read);
    }

    /** Makes the call; returns its answer. */
    CompletableFuture<ResultCode> start() {
        return write.start();
    }

    private Transaction transaction() {
        return new Transaction()
                .expect(Tables.WITHDRAWN, id, knownVersion)
                .write(Tables.WITHDRAWN, id, RowCodec.toValue(known.with(caller)));
    }

    private CompletableFuture<Optional<ResultCode>> read() {
        return store.get(Tables.WITHDRAWN, id).thenApply(row -> {
            known = withdrawal(row);
            knownVersion = row.map(StoredRow::version).orElse(0L);
            return known.isBy(caller) ? Optional.of(ResultCode.OK) : Optional.empty();
        });
    }

    /** Returns what a row holds; one that cannot be read withdraws nothing. */
    static Withdrawal withdrawal(Optional<StoredRow> row) {
        return row.flatMap(r -> RowCodec.fromRow(r, Withdrawal.class)).orElse(Withdrawal.NONE);
    }
}
