package io.pollenreach.bench.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import io.pollenreach.daemon.internal.services.Row;
import io.pollenreach.daemon.internal.services.RowList;
import io.pollenreach.daemon.internal.services.Write;

/**
 * The rows of the table service.
 *
 * <p>Invariants: a transaction takes effect whole or not at all and moves the revision of each table that it touches by
 * one; a row's version grows by one with each write, also across a deletion. Safe for use by many threads: one lock
 * guards all tables.
 */
final class TableStore {
    private final History history;
    private final Map<String, TableRows> tables = new HashMap<>();

    TableStore(History history) {
        this.history = history;
    }

    synchronized Optional<Row> get(String table, String key) {
        return Optional.ofNullable(rows(table).byKey.get(key)).filter(r -> !r.deleted());
    }

    synchronized RowList list(String table, String prefix, long since) {
        TableRows rows = rows(table);
        return new RowList(rows.revision, since > 0 ? rows.changedAfter(since, prefix) : rows.living(prefix));
    }

    synchronized List<Long> transact(List<Write> writes) throws VersionConflict {
        check(writes);
        Set<String> moved = new HashSet<>();
        List<Long> versions = new ArrayList<>();
        for (Write w : writes) {
            TableRows rows = rows(w.table());
            if (moved.add(w.table())) {
                rows.revision++;
            }
            versions.add(write(rows, w));
        }
        return versions;
    }

    private void check(List<Write> writes) throws VersionConflict {
        Set<List<String>> seen = new HashSet<>();
        for (Write w : writes) {
            if (w.table() == null || w.key() == null || !seen.add(List.of(w.table(), w.key()))) {
                throw new IllegalArgumentException("a row is unnamed or written twice: " + w.table() + "/" + w.key());
            }
            long actual = get(w.table(), w.key()).map(Row::version).orElse(0L);
            if (actual != w.expectedVersion()) {
                throw new VersionConflict(w.table(), w.key(), w.expectedVersion(), actual);
            }
        }
    }

    private long write(TableRows rows, Write w) {
        Row old = rows.byKey.get(w.key());
        long version = old == null ? 1 : old.version() + 1;
        boolean deleted = w.value() == null || w.value().isNull();
        Row row = new Row(w.table(), w.key(), version, rows.revision, deleted, deleted ? null : w.value());
        rows.replace(old, row);
        history.append(new HistoryEvent.RowWritten(w.table(), w.key(), version, rows.revision, row.value()));
        return version;
    }

    private TableRows rows(String table) {
        return tables.computeIfAbsent(table, t -> new TableRows());
    }

    /** One table; guarded by the store's lock. */
    private static final class TableRows {
        private final TreeMap<String, Row> byKey = new TreeMap<>();
        private final TreeMap<Long, TreeMap<String, Row>> byRevision = new TreeMap<>();
        private long revision;

        void replace(Row old, Row row) {
            if (old != null) {
                TreeMap<String, Row> same = byRevision.get(old.revision());
                same.remove(old.key());
                if (same.isEmpty()) {
                    byRevision.remove(old.revision());
                }
            }
            byKey.put(row.key(), row);
            byRevision.computeIfAbsent(row.revision(), r -> new TreeMap<>()).put(row.key(), row);
        }

        List<Row> living(String prefix) {
            List<Row> found = new ArrayList<>();
            for (Row row : byKey.tailMap(prefix, true).values()) {
                if (!row.key().startsWith(prefix)) {
                    break;
                }
                if (!row.deleted()) {
                    found.add(row);
                }
            }
            return found;
        }

        List<Row> changedAfter(long since, String prefix) {
            List<Row> found = new ArrayList<>();
            for (TreeMap<String, Row> rows : byRevision.tailMap(since, false).values()) {
                rows.values().stream().filter(r -> r.key().startsWith(prefix)).forEach(found::add);
            }
            return found;
        }
    }
}
