package io.pollenreach.daemon.internal.scheduler;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import com.google.common.collect.Lists;
import io.pollenreach.PollenreachException;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.store.Rows;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.daemon.internal.store.Transaction;
import io.pollenreach.internal.batch.ProgressRow;
import io.pollenreach.internal.intake.WithdrawalExpiry;

/**
 * Removes the rows of jobs that nobody may ask for any more, and old withdrawals of ids.
 *
 * <p>Invariant: a job's own row goes first, together with its first row of progress, so that a job never loses its
 * progress before itself and would seem to be new. Confined to the scheduler's thread.
 */
final class RowRemover {
    /** Withdrawals that fit into one transaction with their conditions and that of the term. */
    private static final int MAX_WITHDRAWALS = (StateStore.MAX_ENTRIES - 1) / 2;

    private static final Events EVENTS = Events.of(RowRemover.class);

    private final StateStore store;
    private final Supplier<Transaction> transactions;
    private final WithdrawalExpiry withdrawals;

    /**
     * Creates a remover.
     *
     * @param store the store
     * @param transactions returns transactions that depend on the leader's term
     * @param nowMs the time, by a monotonic clock
     */
    RowRemover(StateStore store, Supplier<Transaction> transactions, long nowMs) {
        withdrawals = new WithdrawalExpiry(nowMs);
        this.store = store;
        this.transactions = transactions;
    }

    /** Removes the rows of a job; after a failure, some may be left, which another call removes. */
    void remove(String id, List<String> progressKeys) {
        Transaction tx = transactions.get().remove(Tables.JOBS, id).remove(Tables.CANCELS, id);
        for (String key : progressKeys) {
            if (tx.size() == StateStore.MAX_ENTRIES) {
                store.commit(tx).join();
                tx = transactions.get();
            }
            tx.remove(Tables.PROGRESS, key);
        }
        store.commit(tx).join();
    }

    /**
     * Removes the withdrawals that have become old; the table is read now and then, without waiting for it.
     *
     * @param scheduler runs work on the scheduler's thread
     */
    void expireWithdrawals(long nowMs, Consumer<Runnable> scheduler) {
        if (!withdrawals.pollReadDue(nowMs)) {
            return;
        }
        store.list(Tables.WITHDRAWN).whenComplete((rows, t) -> {
            if (t == null) {
                scheduler.accept(() -> removeOld(rows, nowMs));
            } else {
                EVENTS.failure("withdrawals-unread", "table", Tables.WITHDRAWN, PollenreachException.of(t));
            }
        });
    }

    private void removeOld(Rows table, long readMs) {
        Map<String, Long> versions =
                table.rows().stream().collect(Collectors.toMap(StoredRow::key, StoredRow::version));
        Map<String, Long> old = withdrawals.expired(versions, readMs);
        for (List<String> batch : Lists.partition(List.copyOf(old.keySet()), MAX_WITHDRAWALS)) {
            Transaction tx = transactions.get();
            batch.forEach(k -> tx.expect(Tables.WITHDRAWN, k, old.get(k)).remove(Tables.WITHDRAWN, k));
            try {
                store.commit(tx).join();
                EVENTS.info("withdrawals-removed", "rows", batch.size());
            } catch (RuntimeException e) {
                // They are read again, with the versions that they have then.
                EVENTS.failure("withdrawals-left", "rows", batch.size(), PollenreachException.of(e));
            }
        }
    }

    /** Removes rows of progress without a job, which a leader left that could not remove all rows of a job. */
    void removeOrphans(Rows jobs, Rows progress) {
        Set<String> known = jobs.rows().stream().map(StoredRow::key).collect(Collectors.toSet());
        Map<String, List<String>> orphans = progress.rows().stream()
                .map(StoredRow::key)
                .filter(key -> !known.contains(ProgressRow.jobOf(key)))
                .collect(Collectors.groupingBy(ProgressRow::jobOf));
        try {
            orphans.forEach(this::remove);
        } catch (RuntimeException e) {
            PollenreachException failure = PollenreachException.of(e);
            EVENTS.failure("orphans-left", "jobs", orphans.size(), failure);
        }
    }
}
