package io.pollenreach.daemon.internal.store;

/**
 * A row, or the news that it was removed.
 *
 * <p>Immutable by convention: nobody changes the value.
 *
 * @param key the key
 * @param version the store's version at the row's last change
 * @param value the content; null when the row was removed
 */
public record StoredRow(String key, long version, byte[] value) {
    /** Tells whether the row was removed. */
    public boolean removed() {
        return value == null;
    }
}
