package io.pollenreach.internal.intake;

import java.util.HashMap;
import java.util.Map;

/**
 * Finds withdrawals of ids that are old enough to be removed.
 *
 * <p>Invariant: a row is removed only if it has not changed for {@link #MIN_AGE_MS} at least, by which time the store has
 * carried out every write that was under way when it was written. Rows carry no time, so their age counts from when they
 * were first read. Not thread-safe: confined to the scheduler's thread.
 */
public final class WithdrawalExpiry {
    /** How long a withdrawal is kept at least, in milliseconds; a write is carried out some seconds late at the most. */
    public static final long MIN_AGE_MS = 60_000;

    private final Map<String, Sighting> sightings = new HashMap<>();
    private long lastReadMs;

    /** A version of a row, and when it was first read. Immutable. */
    private record Sighting(long version, long firstMs) {}

    /** Creates an expiry that has read no rows yet. */
    public WithdrawalExpiry(long nowMs) {
        lastReadMs = nowMs;
    }

    /** Tells whether the table should be read now; it is read as often as a row may become old. */
    public boolean pollReadDue(long nowMs) {
        if (nowMs - lastReadMs < MIN_AGE_MS) {
            return false;
        }
        lastReadMs = nowMs;
        return true;
    }

    /**
     * Takes the whole table as it was read.
     *
     * @param versions the versions of all rows, by their keys
     * @return the versions of the rows to remove, by their keys
     */
    public Map<String, Long> expired(Map<String, Long> versions, long nowMs) {
        sightings.keySet().retainAll(versions.keySet());
        Map<String, Long> old = new HashMap<>();
        versions.forEach((key, version) -> {
            Sighting seen = sightings.get(key);
            if (seen == null || seen.version() != version) {
                sightings.put(key, new Sighting(version, nowMs));
            } else if (nowMs - seen.firstMs() >= MIN_AGE_MS) {
                old.put(key, version);
            }
        });
        return old;
    }
}
