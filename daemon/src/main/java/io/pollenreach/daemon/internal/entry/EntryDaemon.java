package io.pollenreach.daemon.internal.entry;

import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.settings.EntrySettings;

/** Placeholder on this branch until the entry lands. Immutable. */
public final class EntryDaemon implements AutoCloseable {
    private EntryDaemon() {}

    /** Fails: the entry is not on this branch yet. */
    public static EntryDaemon start(EntrySettings settings, Clock clock) {
        throw new UnsupportedOperationException("the entry is not on this branch");
    }

    @Override
    public void close() {}
}
