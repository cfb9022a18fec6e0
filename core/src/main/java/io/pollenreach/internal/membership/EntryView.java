package io.pollenreach.internal.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.google.common.hash.Hashing;

/**
 * The entries that live, by their heartbeats, as one entry sees them.
 *
 * <p>Invariants: the entry itself always lives; of one address only the newest incarnation counts; two entries with the
 * same live set name the same home for each target and the same planner.
 *
 * <p>Safe for use by many threads. Lock order: its own lock only, and no other is taken while it is held. Times are
 * those of the caller's monotonic clock in milliseconds.
 *
 * <pre>{@code
 * view.heard(beat.from(), beat.zone(), beat.incarnation(), beat.draining(), clock.nowMs());
 * String home = view.homeOf(target.id(), clock.nowMs());
 * }</pre>
 */
public final class EntryView {
    /** An entry that has not been heard for this long does not count as live. */
    public static final long ENTRY_SILENCE_MS = 900;

    /** An entry that has not been heard for this long is no longer sent heartbeats. */
    public static final long ENTRY_FORGET_MS = 60_000;

    private static final String PLANNER = "planner";

    private final EntryInfo self;
    private final TreeMap<String, EntryInfo> entries = new TreeMap<>();
    /** Addresses that others named, with the time until which they are tried. */
    private final Map<String, Long> contacts = new HashMap<>();
    /** Entries that live according to peers but were not heard, with the time at which that counts as a loss. */
    private final Map<String, Long> unheard = new HashMap<>();

    private boolean draining;
    private long lossMs = Long.MIN_VALUE;

    /** Creates a view that holds only the entry itself. */
    public EntryView(String address, String zone, long incarnation) {
        self = new EntryInfo(address, zone, incarnation, false, 0);
    }

    /**
     * Notes a heartbeat.
     *
     * @return whether the peer is new, back from silence or in a new incarnation
     */
    public synchronized boolean heard(String address, String zone, long incarnation, boolean peerDraining, long nowMs) {
        if (address.equals(self.address())) {
            return false;
        }
        noteSilence(nowMs);
        unheard.remove(address);
        EntryInfo known = entries.get(address);
        if (known != null && known.incarnation() > incarnation) {
            return false;
        }
        boolean restarted = known != null && known.incarnation() < incarnation;
        if (restarted) {
            lossMs = nowMs;
        }
        entries.put(address, new EntryInfo(address, zone, incarnation, peerDraining, nowMs));
        contacts.put(address, nowMs + ENTRY_FORGET_MS);
        return known == null || restarted;
    }

    /** Notes addresses at which an entry may be, so that heartbeats are sent to them. */
    public synchronized void learn(Collection<String> addresses, long nowMs) {
        for (String address : addresses) {
            if (!address.equals(self.address())) {
                contacts.putIfAbsent(address, nowMs + ENTRY_FORGET_MS);
            }
        }
    }

    /** Notes the entries that a peer holds to be live; one that is not heard from here soon counts as lost. */
    public synchronized void learnLive(Collection<String> addresses, long nowMs) {
        learn(addresses, nowMs);
        for (String address : addresses) {
            if (!address.equals(self.address()) && !entries.containsKey(address)) {
                unheard.putIfAbsent(address, nowMs + ENTRY_SILENCE_MS);
            }
        }
    }

    /** Notes that this entry takes no new work, so that it is nobody's home and not the planner. */
    public synchronized void drain() {
        draining = true;
    }

    /** Lists the addresses that heartbeats go to, silent ones included. */
    public synchronized List<String> contacts(long nowMs) {
        noteSilence(nowMs);
        contacts.values().removeIf(untilMs -> untilMs <= nowMs);
        return contacts.keySet().stream().sorted().toList();
    }

    /** Lists the live entries with this one, in the order of their addresses; draining ones included. */
    public synchronized List<EntryInfo> live(long nowMs) {
        noteSilence(nowMs);
        TreeMap<String, EntryInfo> all = new TreeMap<>(entries);
        all.put(self.address(), new EntryInfo(self.address(), self.zone(), self.incarnation(), draining, nowMs));
        return List.copyOf(all.values());
    }

    /** Lists the live entries other than this one, in the order of their addresses; draining ones included. */
    public List<EntryInfo> peers(long nowMs) {
        return live(nowMs).stream()
                .filter(e -> !e.address().equals(self.address()))
                .toList();
    }

    /** Returns the address of the entry that a target reports to. */
    public String homeOf(String targetId, long nowMs) {
        return highest(targetId, live(nowMs));
    }

    /** Returns the address of the entry that plans the waiting jobs. */
    public String planner(long nowMs) {
        return highest(PLANNER, live(nowMs));
    }

    /** Returns the address of this entry. */
    public String selfAddress() {
        return self.address();
    }

    /** Tells whether this entry plans the waiting jobs. */
    public boolean plansHere(long nowMs) {
        return planner(nowMs).equals(self.address());
    }

    /**
     * Notes that a peer knows of a lost entry.
     *
     * @param agoMs milliseconds since that loss
     */
    public synchronized void lost(long agoMs, long nowMs) {
        lossMs = Math.max(lossMs, nowMs - agoMs);
    }

    /**
     * Returns since when no entry has fallen silent, left or restarted, and no named one stayed unheard.
     *
     * <p>Only an entry that still lives can say what it started. {@link Long#MIN_VALUE} when none was ever lost.
     */
    public synchronized long steadySinceMs(long nowMs) {
        noteSilence(nowMs);
        return lossMs;
    }

    private void noteSilence(long nowMs) {
        boolean lost = entries.values().removeIf(e -> nowMs - e.lastHeardMs() >= ENTRY_SILENCE_MS);
        boolean neverHeard = unheard.values().removeIf(untilMs -> untilMs <= nowMs);
        if (lost || neverHeard) {
            lossMs = nowMs;
        }
    }

    /** Rendezvous hashing over the entries that take work, or over all when none does. */
    private static String highest(String key, List<EntryInfo> live) {
        List<EntryInfo> able = new ArrayList<>(live);
        able.removeIf(EntryInfo::draining);
        String best = null;
        long bestScore = 0;
        for (EntryInfo entry : able.isEmpty() ? live : able) {
            long score = score(key, entry.address());
            if (best == null || score > bestScore) {
                best = entry.address();
                bestScore = score;
            }
        }
        return best;
    }

    private static long score(String key, String address) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(key, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(address, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
