package io.pollenreach.daemon.internal.services;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table service.
 *
 * <p>Failures are {@link io.pollenreach.PollenreachException}s: {@code CONFLICT} when a version differs (nothing was
 * written), {@code PLATFORM_UNAVAILABLE} when surely nothing was written, {@code WRITE_UNKNOWN} when the answer was
 * lost and the write may have taken effect. Implementations are safe for use by many threads.
 */
public interface Table {
    /** Reads one row. */
    CompletableFuture<Optional<Row>> get(String table, String key);

    /**
     * Lists rows.
     *
     * @param table the table
     * @param prefix only keys that start with this
     * @param since 0 for all rows; else only those written after this revision, deleted ones included
     */
    CompletableFuture<RowList> list(String table, String prefix, long since);

    /**
     * Writes all rows or none.
     *
     * @return the new versions in the order of the writes
     */
    CompletableFuture<List<Long>> transact(List<Write> writes);

    /** Writes one row and returns its new version. */
    default CompletableFuture<Long> put(Write write) {
        return transact(List.of(write)).thenApply(v -> v.get(0));
    }
}
