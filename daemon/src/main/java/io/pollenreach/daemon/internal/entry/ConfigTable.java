package io.pollenreach.daemon.internal.entry;

import java.util.concurrent.atomic.AtomicReference;

import io.pollenreach.daemon.internal.services.RowList;

/**
 * The configuration in force at this entry.
 *
 * <p>Invariant: the version never decreases while the process lives. Safe for use by many threads; it takes no lock.
 */
final class ConfigTable {
    private final AtomicReference<ConfigSnapshot> current = new AtomicReference<>(ConfigSnapshot.EMPTY);

    private volatile boolean known;

    /** Returns whether a configuration has been read, from the platform or a peer; an empty one counts. */
    boolean known() {
        return known;
    }

    ConfigSnapshot get() {
        return current.get();
    }

    /** Applies rows read from the table service since a version that was in force here; true when it changed. */
    boolean apply(RowList list) {
        ConfigSnapshot before = current.getAndUpdate(s -> s.apply(list));
        known = true;
        return list.revision() > before.version();
    }

    /** Adopts a peer's snapshot when it is newer; true when it changed. */
    boolean adopt(ConfigSnapshot other) {
        ConfigSnapshot before = current.getAndUpdate(s -> other.version() > s.version() ? other : s);
        known = true;
        return other.version() > before.version();
    }
}
