package io.pollenreach.internal.gang;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.pollenreach.Clock;
import io.pollenreach.internal.wire.AttemptId;

/**
 * Decides for the parts on this worker which of them must stop.
 *
 * <p>Invariants: a part that was not released within {@link GangTimes#PREPARED_TTL_MS} can't be released any more; a
 * released part is overdue when the beat that the leader last allowed is older than {@link GangTimes#GANG_SILENCE_MS}.
 * Leave counts from the time at which the beat was sent, so a late answer doesn't prolong it. Safe for use by many
 * threads.
 */
public final class GangMember {
    private final Clock clock;
    private final Map<PartKey, Watch> watches = new HashMap<>();

    /** Why a part must stop. Immutable. */
    public enum Reason {
        /** Nobody released it in time. */
        NOT_RELEASED,
        /** The leader has not allowed it to go on. */
        NOT_ALLOWED
    }

    /**
     * A part that must stop.
     *
     * <p>Immutable.
     *
     * @param key the part
     * @param reason why
     * @param overdueMs milliseconds since the part was prepared or last allowed
     */
    public record Overdue(PartKey key, Reason reason, long overdueMs) {}

    private static final class Watch {
        private boolean released;
        private long sinceMs;
    }

    /** Creates a member without parts. */
    public GangMember(Clock clock) {
        this.clock = clock;
    }

    /** Starts to watch a part that has been prepared. */
    public synchronized void prepared(PartKey key) {
        Watch watch = new Watch();
        watch.sinceMs = clock.nowMs();
        watches.putIfAbsent(key, watch);
    }

    /**
     * Lets a prepared part run.
     *
     * @return false when the part is not watched or its time for a release has passed
     */
    public synchronized boolean release(PartKey key) {
        Watch watch = watches.get(key);
        long nowMs = clock.nowMs();
        if (watch == null) {
            return false;
        }
        if (watch.released) {
            return true;
        }
        if (nowMs - watch.sinceMs > GangTimes.PREPARED_TTL_MS) {
            return false;
        }
        watch.released = true;
        watch.sinceMs = nowMs;
        return true;
    }

    /** Records that the leader allowed an attempt in answer to a beat sent at a time. */
    public synchronized void allowed(AttemptId id, long beatSentMs) {
        watches.forEach((key, watch) -> {
            if (watch.released && key.id().equals(id)) {
                watch.sinceMs = Math.max(watch.sinceMs, beatSentMs);
            }
        });
    }

    /** Stops watching a part. */
    public synchronized void remove(PartKey key) {
        watches.remove(key);
    }

    /** Returns the parts that must stop now. */
    public synchronized List<Overdue> overdue() {
        long nowMs = clock.nowMs();
        List<Overdue> overdue = new ArrayList<>();
        watches.forEach((key, watch) -> {
            long ageMs = nowMs - watch.sinceMs;
            long limitMs = watch.released ? GangTimes.GANG_SILENCE_MS : GangTimes.PREPARED_TTL_MS;
            if (ageMs > limitMs) {
                overdue.add(new Overdue(key, watch.released ? Reason.NOT_ALLOWED : Reason.NOT_RELEASED, ageMs));
            }
        });
        return overdue;
    }
}
