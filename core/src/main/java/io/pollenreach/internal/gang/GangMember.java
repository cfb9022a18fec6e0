package io.pollenreach.internal.gang;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.pollenreach.Clock;
import io.pollenreach.internal.wire.AttemptId;

/**
 * Decides which of the parts on this worker must stop.
 *
 * <p>Invariants: a part that was not released within {@link GangTimes#PREPARED_TTL_MS} can't be released any more; a
 * released part is overdue when the last heartbeat answered with permission is older than
 * {@link GangTimes#GANG_TIMEOUT_MS}. Permission counts from the time at which the heartbeat was sent, so a late
 * response doesn't prolong it. Safe for use by many threads.
 */
public final class GangMember {
    private final Clock clock;
    private final Map<PartKey, WatchedPart> watchedParts = new HashMap<>();

    /** Why a part must stop. Immutable. */
    public enum Reason {
        /** It was not released within {@link GangTimes#PREPARED_TTL_MS}. */
        NOT_RELEASED,
        /** The leader gave no permission to continue within {@link GangTimes#GANG_TIMEOUT_MS}. */
        NOT_ALLOWED
    }

    /**
     * A part that must stop.
     *
     * <p>Immutable.
     *
     * @param key the part
     * @param reason why it must stop
     * @param overdueMs milliseconds since the part was prepared, released or last permitted to continue
     */
    public record Overdue(PartKey key, Reason reason, long overdueMs) {}

    private static final class WatchedPart {
        private boolean released;
        private long timerStartMs;
    }

    /** Creates a member that watches no parts. */
    public GangMember(Clock clock) {
        this.clock = clock;
    }

    /** Starts to watch a part that has been prepared. */
    public synchronized void addPrepared(PartKey key) {
        WatchedPart part = new WatchedPart();
        part.timerStartMs = clock.nowMs();
        watchedParts.putIfAbsent(key, part);
    }

    /**
     * Releases a prepared part, so that it may run.
     *
     * @return false if the part is not watched or was prepared more than {@link GangTimes#PREPARED_TTL_MS} ago
     */
    public synchronized boolean release(PartKey key) {
        WatchedPart part = watchedParts.get(key);
        long nowMs = clock.nowMs();
        if (part == null) {
            return false;
        }
        if (part.released) {
            return true;
        }
        if (nowMs - part.timerStartMs > GangTimes.PREPARED_TTL_MS) {
            return false;
        }
        part.released = true;
        part.timerStartMs = nowMs;
        return true;
    }

    /** Records that the leader permitted an attempt to continue, in response to a heartbeat sent at the given time. */
    public synchronized void recordPermission(AttemptId id, long heartbeatSentMs) {
        watchedParts.forEach((key, part) -> {
            if (part.released && key.id().equals(id)) {
                part.timerStartMs = Math.max(part.timerStartMs, heartbeatSentMs);
            }
        });
    }

    /** Stops watching a part. */
    public synchronized void remove(PartKey key) {
        watchedParts.remove(key);
    }

    /** Returns the parts that must stop now. */
    public synchronized List<Overdue> overdue() {
        long nowMs = clock.nowMs();
        List<Overdue> overdue = new ArrayList<>();
        watchedParts.forEach((key, part) -> {
            long ageMs = nowMs - part.timerStartMs;
            long limitMs = part.released ? GangTimes.GANG_TIMEOUT_MS : GangTimes.PREPARED_TTL_MS;
            if (ageMs > limitMs) {
                overdue.add(new Overdue(key, part.released ? Reason.NOT_ALLOWED : Reason.NOT_RELEASED, ageMs));
            }
        });
        return overdue;
    }
}
