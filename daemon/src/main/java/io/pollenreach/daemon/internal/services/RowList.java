package io.pollenreach.daemon.internal.services;

import java.util.List;

/**
 * Rows of one table as of one revision.
 *
 * <p>Immutable.
 *
 * @param revision the table's revision at which the rows were read
 * @param rows the rows
 */
public record RowList(long revision, List<Row> rows) {
    public RowList {
        rows = rows == null ? List.of() : List.copyOf(rows);
    }
}
