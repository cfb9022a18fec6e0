package io.pollenreach.internal.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.pollenreach.internal.wire.TargetInfo;

/**
 * The targets that an entry knows, each by its newest announcement.
 *
 * <p>A target announces itself to one entry, its home. The home passes on only what changed, and says when a target has
 * fallen silent; so at other entries a target lives as long as its home is heard and has not said otherwise.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Of one target only the newest announcement counts, by incarnation and then sequence; an older or repeated one
 *       changes nothing, and does not make the target appear alive.
 *   <li>A target gets new work only while it was heard here, or else its home was, less than {@link #TARGET_SILENCE_MS}
 *       ago, and it neither drains nor has gone. One that has gone comes back only with a newer announcement.
 *   <li>Only the home of a target can say that it has gone.
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

    /** The home of the targets that announce themselves here. */
    private static final String HERE = "";

    private final TreeMap<String, Known> targets = new TreeMap<>();
    private final Map<String, Long> homesHeardMs = new HashMap<>();
    private long changes;

    /**
     * Notes what a target announced to this entry.
     *
     * @return whether it says more than that the target still lives
     */
    public synchronized boolean announced(TargetInfo info, long nowMs) {
        return note(info, HERE, nowMs);
    }

    /**
     * Notes what a target announced to a peer, its home.
     *
     * @return whether it says something new
     */
    public synchronized boolean relayed(TargetInfo info, String home, long nowMs) {
        return note(info, home, nowMs);
    }

    /** Notes that a peer was heard, and so that the targets at home there live unless it has said otherwise. */
    public synchronized void homeHeard(String home, long nowMs) {
        homesHeardMs.put(home, nowMs);
    }

    /**
     * Notes that a target which announces itself here left.
     *
     * @return whether it had not gone yet
     */
    public synchronized boolean left(String id, long nowMs) {
        return goneAt(id, HERE, nowMs);
    }

    /**
     * Notes that a target has gone, as its home says.
     *
     * @return whether that is the target's home and it had not gone yet
     */
    public synchronized boolean goneAt(String id, String home, long nowMs) {
        Known known = targets.get(id);
        if (known == null || known.gone || !known.home.equals(home)) {
            return false;
        }
        changes++;
        long heardMs = home.equals(HERE) ? known.heardMs : nowMs;
        targets.put(id, new Known(known.info, heardMs, known.addressSinceMs, home, true, changes));
        return true;
    }

    /** Returns the newest announcement of a target that has not gone, however long ago it was heard. */
    public synchronized Optional<TargetInfo> find(String id) {
        return Optional.ofNullable(targets.get(id)).filter(k -> !k.gone).map(k -> k.info);
    }

    /** Returns the newest announcement of a target, also when it has gone, until it is forgotten. */
    public synchronized Optional<TargetInfo> lastKnown(String id) {
        return Optional.ofNullable(targets.get(id)).map(k -> k.info);
    }

    /** Tells whether a target may get new work. */
    public synchronized boolean usable(String id, long nowMs) {
        Known known = targets.get(id);
        return known != null && usable(known, nowMs);
    }

    /** Lists the targets that may get new work, in the order of their ids. */
    public synchronized List<TargetInfo> usable(long nowMs) {
        return targets.values().stream()
                .filter(k -> usable(k, nowMs))
                .map(k -> k.info)
                .toList();
    }

    /** Lists the targets that have not gone and live, draining ones included, in the order of ids. */
    public synchronized List<TargetInfo> live(long nowMs) {
        return targets.values().stream()
                .filter(k -> live(k, nowMs))
                .map(k -> k.info)
                .toList();
    }

    /** Lists the targets that have gone or are not known to live, until they are forgotten, in the order of ids. */
    public synchronized List<TargetInfo> silent(long nowMs) {
        return targets.values().stream()
                .filter(k -> !live(k, nowMs))
                .map(k -> k.info)
                .toList();
    }

    /** Returns when a target was last known to live; later than that it may still have. */
    public synchronized Optional<Long> heardMs(String id) {
        return Optional.ofNullable(targets.get(id)).map(this::heardMs);
    }

    /**
     * Returns when a target was last known to live at an address: for an earlier address, when it was first noted at
     * the next one.
     */
    public synchronized Optional<Long> heardMs(String id, String address) {
        Known known = targets.get(id);
        if (known == null) {
            return Optional.empty();
        }
        boolean moved = !known.info.address().equals(address);
        return Optional.of(moved ? known.addressSinceMs : heardMs(known));
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
            if (!known.home.equals(HERE) || known.change <= number) {
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

    /** Notes which targets have fallen silent here, and forgets those that have gone for {@link #TARGET_FORGET_MS}. */
    public synchronized void sweep(long nowMs) {
        for (Known k : List.copyOf(targets.values())) {
            if (!k.gone && k.home.equals(HERE) && !live(k, nowMs)) {
                changes++;
                targets.put(k.info.id(), new Known(k.info, k.heardMs, k.addressSinceMs, HERE, true, changes));
            }
        }
        targets.values().removeIf(k -> nowMs - heardMs(k) >= TARGET_FORGET_MS);
        homesHeardMs.values().removeIf(ms -> nowMs - ms >= TARGET_FORGET_MS);
    }

    private boolean note(TargetInfo info, String home, long nowMs) {
        Known known = targets.get(info.id());
        if (known != null && !info.newerThan(known.info)) {
            return false;
        }
        boolean material = known == null || known.gone || !known.home.equals(home) || info.differsFrom(known.info);
        if (material) {
            changes++;
        }
        long change = material ? changes : known.change;
        boolean moved = known == null || !known.info.address().equals(info.address());
        long addressSinceMs = moved ? nowMs : known.addressSinceMs;
        targets.put(info.id(), new Known(info, nowMs, addressSinceMs, home, false, change));
        return material;
    }

    private long heardMs(Known known) {
        if (known.home.equals(HERE) || known.gone) {
            return known.heardMs;
        }
        return Math.max(known.heardMs, homesHeardMs.getOrDefault(known.home, known.heardMs));
    }

    private boolean live(Known known, long nowMs) {
        return !known.gone && nowMs - heardMs(known) < TARGET_SILENCE_MS;
    }

    private boolean usable(Known known, long nowMs) {
        return live(known, nowMs) && !known.info.draining();
    }

    /**
     * The newest announcement of one target, where it came from, and the last change that matters to peers. Immutable.
     */
    private record Known(TargetInfo info, long heardMs, long addressSinceMs, String home, boolean gone, long change) {}
}
