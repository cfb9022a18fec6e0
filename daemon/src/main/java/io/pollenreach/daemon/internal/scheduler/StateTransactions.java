package io.pollenreach.daemon.internal.scheduler;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.daemon.internal.store.Transaction;
import io.pollenreach.internal.batch.ProgressRow;
import io.pollenreach.internal.batch.StateChanges;
import io.pollenreach.internal.batch.WorkerOrders;

/**
 * Builds the transactions that store a leader's decisions.
 *
 * <p>Invariants: progress is stored before orders, so the placement of every ordered run is known; the first row of a job
 * comes first, with as many of its others as fit; orders to run something on a worker depend on the condition of its
 * availability zone. Not thread-safe: confined to the scheduler's thread.
 */
final class StateTransactions {
    private final Supplier<Transaction> newTransaction;
    private final Function<String, Optional<Transaction.Condition>> conditionOfWorker;

    /**
     * Creates a builder.
     *
     * @param newTransaction returns a transaction with the condition that the term is in force
     * @param conditionOfWorker returns on what orders to an agent depend besides
     */
    StateTransactions(
            Supplier<Transaction> newTransaction, Function<String, Optional<Transaction.Condition>> conditionOfWorker) {
        this.newTransaction = newTransaction;
        this.conditionOfWorker = conditionOfWorker;
    }

    /** Returns the transactions that store the leader's own rows and changes, in the order in which to commit them. */
    List<Transaction> of(Consumer<Transaction> leaderRows, StateChanges changes) {
        Batch batch = new Batch();
        leaderRows.accept(batch.current);
        changes.jobs().values().forEach(batch::addProgress);
        changes.outdated().forEach(batch::removeProgress);
        changes.workers().forEach(batch::addOrders);
        batch.full.add(batch.current);
        return batch.full;
    }

    private final class Batch {
        private final List<Transaction> full = new ArrayList<>();
        private final Set<Transaction.Condition> conditions = new HashSet<>();
        private Transaction current = newTransaction.get();

        private void addProgress(Map<String, ProgressRow> rowsOfJob) {
            Map<String, byte[]> values = new LinkedHashMap<>();
            rowsOfJob.forEach((key, row) -> values.put(key, RowCodec.toValue(row)));
            startNextUnlessFits(
                    values.size(),
                    values.values().stream().mapToLong(v -> v.length).sum());
            values.forEach((key, value) -> {
                startNextUnlessFits(1, value.length);
                current.write(Tables.PROGRESS, key, value);
            });
        }

        private void removeProgress(String key) {
            startNextUnlessFits(1, 0);
            current.remove(Tables.PROGRESS, key);
        }

        private void addOrders(String agent, WorkerOrders orders) {
            byte[] value = RowCodec.toValue(orders);
            Optional<Transaction.Condition> condition =
                    orders.runs().isEmpty() ? Optional.empty() : conditionOfWorker.apply(agent);
            startNextUnlessFits(condition.isPresent() ? 2 : 1, value.length);
            condition.filter(conditions::add).ifPresent(c -> current.expect(c.table(), c.key(), c.version()));
            current.write(Tables.ordersOf(agent), agent, value);
        }

        private void startNextUnlessFits(int entries, long bytes) {
            boolean fits = current.size() + entries <= StateStore.MAX_ENTRIES
                    && current.bytes() + bytes <= StateStore.MAX_BYTES;
            if (!fits && current.size() > current.conditions().size()) {
                full.add(current);
                current = newTransaction.get();
                conditions.clear();
            }
        }
    }
}
