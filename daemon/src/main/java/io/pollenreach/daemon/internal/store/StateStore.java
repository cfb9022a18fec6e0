package io.pollenreach.daemon.internal.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A transactional store of rows whose changes can be followed.
 *
 * <p>Makes each call once. Failures are {@link io.pollenreach.PollenreachException}s: {@code CONFLICT} when a condition
 * does not hold (nothing was written), {@code TOO_LARGE} when a value is larger than a row may be (nothing was sent),
 * {@code PLATFORM_UNAVAILABLE} when surely nothing was written, {@code WRITE_UNKNOWN} when a transaction may have taken
 * effect or may yet do so, {@code HISTORY_GONE} when changes can no longer be followed from a version. Implementations
 * are safe for use by many threads.
 */
public interface StateStore {
    /** Entries that one transaction may have; the platform's limit. */
    int MAX_ENTRIES = 100;

    /** Bytes of values that one transaction may carry: the platform takes 1 MB, of text that is a third longer. */
    int MAX_BYTES = 600_000;

    /** Bytes that the value of one row may have. */
    int maxRowBytes();

    /** Reads one row. */
    CompletableFuture<Optional<StoredRow>> get(String table, String key);

    /** Reads a whole table. */
    CompletableFuture<Rows> list(String table);

    /**
     * Waits for changes.
     *
     * @param table the table
     * @param after only changes after this version
     * @param waitMs how long to wait for the first change, in milliseconds
     * @return the changed rows, in order; none when nothing changed in time
     */
    CompletableFuture<Rows> changes(String table, long after, long waitMs);

    /** Applies a transaction and returns its version. */
    CompletableFuture<Long> commit(Transaction transaction);
}
