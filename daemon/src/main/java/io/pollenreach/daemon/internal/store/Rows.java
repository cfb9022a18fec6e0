package io.pollenreach.daemon.internal.store;

import java.util.List;

/**
 * Rows of one table as of one version of the store.
 *
 * <p>Immutable.
 *
 * @param version the store's version that the rows stand for
 * @param rows the rows
 */
public record Rows(long version, List<StoredRow> rows) {
    public Rows {
        rows = List.copyOf(rows);
    }
}
