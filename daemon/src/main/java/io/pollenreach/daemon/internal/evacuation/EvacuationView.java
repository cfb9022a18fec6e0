package io.pollenreach.daemon.internal.evacuation;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.daemon.internal.store.Rows;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.TableWatch;
import io.pollenreach.daemon.internal.store.Transaction;

/**
 * The availability zones under evacuation, as a watch of their table and reads on demand have shown them.
 *
 * <p>Invariants: what was read of a newer version of the store is never replaced by an older one; a row that is missing
 * from a whole table no longer evacuates its zone. Safe for use by many threads.
 */
public final class EvacuationView implements TableWatch.Listener, EvacuationSource {
    private static final long UNKNOWN = -1;

    private final StateStore store;
    private final EvacuationRows names;
    private volatile Map<String, Long> versionByZone = Map.of();
    /** The store's version that the zones stand for. */
    private long asOf = UNKNOWN;

    /** Creates a view that knows of no evacuation yet. */
    public EvacuationView(StateStore store, EvacuationRows names) {
        this.store = store;
        this.names = names;
    }

    @Override
    public synchronized void snapshot(Rows rows) {
        if (rows.version() < asOf) {
            return;
        }
        Map<String, Long> next = new HashMap<>();
        rows.rows().stream().filter(r -> !r.removed()).forEach(r -> names.zoneOf(r)
                .ifPresent(zone -> next.put(zone, r.version())));
        versionByZone = Map.copyOf(next);
        asOf = rows.version();
    }

    @Override
    public synchronized void changes(Rows rows) {
        if (rows.version() <= asOf) {
            return;
        }
        Map<String, Long> next = new HashMap<>(versionByZone);
        rows.rows().forEach(r -> names.zoneOf(r).ifPresent(zone -> apply(r, zone, next)));
        versionByZone = Map.copyOf(next);
        asOf = rows.version();
    }

    private void apply(StoredRow row, String zone, Map<String, Long> next) {
        if (!row.removed() && row.version() > asOf) {
            next.put(zone, row.version());
        }
        // The news of a removal may carry the version of the row that was removed.
        if (row.removed() && row.version() >= next.getOrDefault(zone, Long.MAX_VALUE)) {
            next.remove(zone);
        }
    }

    /** Returns a listener that hands the same rows to this view and then to another listener. */
    public TableWatch.Listener andThen(TableWatch.Listener other) {
        return new TableWatch.Listener() {
            @Override
            public void snapshot(Rows rows) {
                EvacuationView.this.snapshot(rows);
                other.snapshot(rows);
            }

            @Override
            public void changes(Rows rows) {
                EvacuationView.this.changes(rows);
                other.changes(rows);
            }
        };
    }

    @Override
    public Map<String, Long> versionByZone() {
        return versionByZone;
    }

    @Override
    public Optional<Transaction.Condition> conditionFor(String zone) {
        return zone.isEmpty()
                ? Optional.empty()
                : Optional.of(new Transaction.Condition(names.table(), names.key(zone), 0));
    }

    @Override
    public CompletableFuture<Void> refresh() {
        return store.list(names.table()).thenAccept(this::snapshot);
    }
}
