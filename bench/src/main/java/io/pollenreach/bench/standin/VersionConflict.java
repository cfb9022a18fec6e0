package io.pollenreach.bench.standin;

/** A row did not have the expected version, so that nothing was written. Immutable. */
final class VersionConflict extends Exception {
    private static final long serialVersionUID = 1L;

    VersionConflict(String table, String key, long expected, long actual) {
        super(table + "/" + key + " has version " + actual + ", not " + expected);
    }
}
