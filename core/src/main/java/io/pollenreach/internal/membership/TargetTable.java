package io.pollenreach.internal.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import io.pollenreach.internal.wire.TargetInfo;

/**
 * The targets that an entry knows, each by its newest announcement.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Of one target only the newest announcement counts, by incarnation and then sequence; an older or repeated one
 *       changes nothing, and does not make the target appear alive.
 *   <li>A target gets new work only while its newest announcement was heard less than {@link #TARGET_SILENCE_MS} ago,
 *       and it neither drains nor has left. One that has left comes back only with a newer announcement.
 *   <li>Change numbers grow by one with each change; of one target only the last change is kept.
 * </ul>
 *
 * <p>Safe for use by many threads. Lock order: its own lock only, and no other is taken while it is held. Times are
 * those of the caller's monotonic clock in milliseconds.
 */
public final class TargetTable {
    /** A target that has not been heard for this long gets no new work. */
    public static final long TARGET_SILENCE_MS = 2_000;

    /** A target that has not been heard for this long is forgotten. */
    public static final long TARGET_FORGET_MS = 600_000;

    private final TreeMap<String, Known> targets = new TreeMap<>();
    private long changes;

    /**
     * Notes what a target announced to this entry.
     *
     * @return whether it is newer than what was known
     */
    public synchronized boolean announced(TargetInfo info, long nowMs) {
        return note(info, true, nowMs);
    }

    /**
     * Notes what a target announced to a peer.
     *
     * @return whether it is newer than what was known
     */
    public synchronized boolean relayed(TargetInfo info, long nowMs) {
        return note(info, false, nowMs);
    }

    /**
     * Notes that a target left.
     *
     * @param id the target's id
     * @param local whether the target itself said so to this entry, so that peers hear it from here
     * @return whether it was known and had not left yet
     */
    public synchronized boolean gone(String id, boolean local) {
        Known known = targets.get(id);
        if (known == null || known.gone) {
            return false;
        }
        changes++;
        targets.put(id, new Known(known.info, known.heardMs, local, true, changes));
        return true;
    }

    /** Returns the newest announcement of a target that has not left, however long ago it was heard. */
    public synchronized Optional<TargetInfo> find(String id) {
        return Optional.ofNullable(targets.get(id)).filter(k -> !k.gone).map(k -> k.info);
    }

    /** Tells whether a target may get new work. */
    public synchronized boolean usable(String id, long nowMs) {
        Known known = targets.get(id);
        return known != null && known.usable(nowMs);
    }

    /** Lists the targets that may get new work, in the order of their ids. */
    public synchronized List<TargetInfo> usable(long nowMs) {
        return targets.values().stream()
                .filter(k -> k.usable(nowMs))
                .map(k -> k.info)
                .toList();
    }

    /** Lists the targets that have not left and were heard recently, draining ones included, in the order of ids. */
    public synchronized List<TargetInfo> live(long nowMs) {
        return targets.values().stream()
                .filter(k -> k.live(nowMs))
                .map(k -> k.info)
                .toList();
    }

    /** Returns when the newest announcement of a target was heard. */
    public synchronized Optional<Long> heardMs(String id) {
        return Optional.ofNullable(targets.get(id)).map(k -> k.heardMs);
    }

    /**
     * Lists what changed among the targets that announce themselves to this entry.
     *
     * @param number the {@link TargetChanges#upTo()} of the last call, 0 for everything
     */
    public synchronized TargetChanges changesSince(long number) {
        List<TargetInfo> changed = new ArrayList<>();
        List<String> gone = new ArrayList<>();
        for (Known known : targets.values()) {
            if (!known.local || known.change <= number) {
                continue;
            }
            if (known.gone) {
                gone.add(known.info.id());
            } else {
                changed.add(known.info);
            }
        }
        return new TargetChanges(changes, changed, gone);
    }

    /** Forgets the targets that have not been heard for {@link #TARGET_FORGET_MS}. */
    public synchronized void forgetSilent(long nowMs) {
        targets.values().removeIf(k -> nowMs - k.heardMs >= TARGET_FORGET_MS);
    }

    private boolean note(TargetInfo info, boolean local, long nowMs) {
        Known known = targets.get(info.id());
        if (known != null && !info.newerThan(known.info)) {
            return false;
        }
        changes++;
        targets.put(info.id(), new Known(info, nowMs, local, false, changes));
        return true;
    }

    /** The newest announcement of one target, and the number of the change that brought it. Immutable. */
    private record Known(TargetInfo info, long heardMs, boolean local, boolean gone, long change) {
        boolean live(long nowMs) {
            return !gone && nowMs - heardMs < TARGET_SILENCE_MS;
        }

        boolean usable(long nowMs) {
            return live(nowMs) && !info.draining();
        }
    }
}
