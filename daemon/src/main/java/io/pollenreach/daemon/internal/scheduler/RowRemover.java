package io.pollenreach.daemon.internal.scheduler;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.pollenreach.PollenreachException;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.store.Rows;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.daemon.internal.store.Transaction;
import io.pollenreach.internal.batch.ProgressRow;

/**
 * Removes the rows of jobs that nobody may ask for any more.
 *
 * <p>Invariant: a job's own row goes first, together with its first row of progress, so that a job never loses its
 * progress before itself and would seem to be new. Confined to the scheduler's thread.
 */
final class RowRemover {
    private static final Events EVENTS = Events.of(RowRemover.class);

    private final StateStore store;
    private final Supplier<Transaction> transactions;

    /** Creates a remover; {@code transactions} returns transactions that depend on the leader's term. */
    RowRemover(StateStore store, Supplier<Transaction> transactions) {
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
