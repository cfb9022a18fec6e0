package io.pollenreach.internal.claims;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The keys of one stripe of the request table.
 *
 * <p>Invariant: a key is in at most one of the three maps; the two with expiry times are ordered by expiry, because
 * all their entries have the same time to live. Not thread-safe: the caller holds the stripe's lock.
 */
final class RequestStripe {
    private final int maxTombstones;
    private final int maxFinished;
    /** Running keys; the value tells whether an earlier copy has finished at this entry. */
    private final Map<String, Boolean> running = new HashMap<>();

    private final LinkedHashMap<String, Long> finished = new LinkedHashMap<>();
    private final LinkedHashMap<String, Long> tombstones = new LinkedHashMap<>();
    /** Until then a finished key may be missing, so no tombstone may be recorded for an unknown key. */
    private long finishedIncompleteUntilMs = Long.MIN_VALUE;

    RequestStripe(int maxTombstones, int maxFinished) {
        this.maxTombstones = maxTombstones;
        this.maxFinished = maxFinished;
    }

    Admission admit(String key, long nowMs) {
        expire(nowMs);
        if (tombstones.containsKey(key)) {
            return Admission.TOMBSTONED;
        }
        if (running.containsKey(key)) {
            return Admission.ALREADY_STARTED;
        }
        if (tombstones.size() > maxTombstones) {
            return Admission.FULL;
        }
        boolean ranBefore = finished.remove(key) != null;
        running.put(key, ranBefore);
        return Admission.STARTED;
    }

    boolean recordTombstone(String key, long nowMs) {
        expire(nowMs);
        boolean known = tombstones.containsKey(key);
        if (!known && (tombstones.size() >= maxTombstones || nowMs < finishedIncompleteUntilMs)) {
            return false;
        }
        return addTombstone(key, nowMs);
    }

    boolean addTombstone(String key, long nowMs) {
        expire(nowMs);
        if (running.containsKey(key) || finished.containsKey(key)) {
            return false;
        }
        putLast(tombstones, key, nowMs);
        return true;
    }

    void finish(String key, long nowMs) {
        expire(nowMs);
        if (running.remove(key) == null) {
            return;
        }
        putLast(finished, key, nowMs);
        if (finished.size() <= maxFinished) {
            return;
        }
        Iterator<Long> oldest = finished.values().iterator();
        finishedIncompleteUntilMs = oldest.next();
        oldest.remove();
    }

    boolean finishUnsent(String key, long nowMs) {
        Boolean ranBefore = running.get(key);
        if (ranBefore == null) {
            return false;
        }
        if (ranBefore || tombstones.size() >= maxTombstones) {
            finish(key, nowMs);
            return false;
        }
        running.remove(key);
        return addTombstone(key, nowMs);
    }

    void addTombstonesTo(List<String> keys, long nowMs) {
        expire(nowMs);
        keys.addAll(tombstones.keySet());
    }

    private static void putLast(LinkedHashMap<String, Long> map, String key, long nowMs) {
        map.remove(key);
        map.put(key, nowMs + RequestTable.TOMBSTONE_TTL_MS);
    }

    private void expire(long nowMs) {
        expire(finished, nowMs);
        expire(tombstones, nowMs);
    }

    private static void expire(LinkedHashMap<String, Long> map, long nowMs) {
        Iterator<Long> expiry = map.values().iterator();
        while (expiry.hasNext() && expiry.next() <= nowMs) {
            expiry.remove();
        }
    }
}
