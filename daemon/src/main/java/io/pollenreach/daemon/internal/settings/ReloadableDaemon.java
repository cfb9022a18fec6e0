package io.pollenreach.daemon.internal.settings;

/**
 * A running daemon whose settings can change.
 *
 * <p>Implementations are safe for use by many threads.
 *
 * @param <T> the settings
 */
public interface ReloadableDaemon<T extends Record> extends AutoCloseable {
    /** Puts settings in force that differ from the former ones only where a daemon can change while it runs. */
    void reload(T settings);
}
