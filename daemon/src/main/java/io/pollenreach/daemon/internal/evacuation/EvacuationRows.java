package io.pollenreach.daemon.internal.evacuation;

import java.util.Optional;

import io.pollenreach.daemon.internal.store.StoredRow;

/**
 * Names the rows by which the operator evacuates availability zones: a zone is under evacuation while its row exists.
 *
 * <p>Implementations are safe for use by many threads.
 */
public interface EvacuationRows {
    /** Returns the table of the rows, which may hold others too. */
    String table();

    /** Returns the key of a zone's row. */
    String key(String zone);

    /** Returns the zone that a row is about; empty for a row that evacuates none. */
    Optional<String> zoneOf(StoredRow row);
}
