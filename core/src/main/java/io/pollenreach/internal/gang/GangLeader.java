package io.pollenreach.internal.gang;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.pollenreach.Clock;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.PartState;

/**
 * Decides for the gangs that this agent leads which of them may go on.
 *
 * <p>Invariants: an attempt may go on only while every part has been heard within {@link GangTimes#GANG_SILENCE_MS} or
 * has succeeded; once an attempt is condemned it never goes on again. Safe for use by many threads.
 *
 * <pre>{@code
 * leader.lead(id, List.of(0, 1));
 * leader.heard(id, 0, PartState.RUNNING);
 * leader.heard(id, 1, PartState.RUNNING);
 * leader.mayGoOn(id); // true
 * }</pre>
 */
public final class GangLeader {
    private static final long FORGET_MS = 60_000;

    private final Clock clock;
    private final Map<AttemptId, Gang> gangs = new HashMap<>();

    private static final class Gang {
        private final Map<Integer, Long> heardMs = new HashMap<>();
        private final Map<Integer, Boolean> succeeded = new HashMap<>();
        private String condemned;
        private long lastWordMs;
    }

    /** Creates a leader without gangs. */
    public GangLeader(Clock clock) {
        this.clock = clock;
    }

    /** Starts to lead an attempt; does nothing when it is led already. */
    public synchronized void lead(AttemptId id, Collection<Integer> ranks) {
        if (gangs.containsKey(id)) {
            return;
        }
        Gang gang = new Gang();
        ranks.forEach(r -> gang.succeeded.put(r, false));
        gang.lastWordMs = clock.nowMs();
        gangs.put(id, gang);
    }

    /** Takes the word of a part; ignores attempts and ranks that are not known. */
    public synchronized void heard(AttemptId id, int rank, PartState state) {
        Gang gang = gangs.get(id);
        if (gang == null || !gang.succeeded.containsKey(rank)) {
            return;
        }
        long nowMs = clock.nowMs();
        gang.lastWordMs = nowMs;
        if (gang.succeeded.get(rank)) {
            return;
        }
        condemnSilent(gang, nowMs);
        switch (state) {
            case SUCCEEDED:
                gang.succeeded.put(rank, true);
                break;
            case PREPARED:
            case RUNNING:
                gang.heardMs.put(rank, nowMs);
                break;
            default:
                condemn(gang, "rank " + rank + " is " + state);
        }
    }

    /** Tells whether every part was heard recently and none has failed. */
    public synchronized boolean mayGoOn(AttemptId id) {
        Gang gang = gangs.get(id);
        if (gang == null) {
            return false;
        }
        condemnSilent(gang, clock.nowMs());
        if (gang.condemned != null) {
            return false;
        }
        return gang.succeeded.entrySet().stream().allMatch(e -> e.getValue() || gang.heardMs.containsKey(e.getKey()));
    }

    /** Returns why an attempt will never go on again; empty while it still may. */
    public synchronized Optional<String> condemned(AttemptId id) {
        return Optional.ofNullable(gangs.get(id)).map(g -> g.condemned);
    }

    /** Forgets gangs of which nothing has been heard for long. */
    public synchronized void sweep() {
        long nowMs = clock.nowMs();
        gangs.values().removeIf(g -> nowMs - g.lastWordMs > FORGET_MS);
    }

    private static void condemnSilent(Gang gang, long nowMs) {
        gang.heardMs.forEach((rank, heard) -> {
            if (!gang.succeeded.get(rank) && nowMs - heard > GangTimes.GANG_SILENCE_MS) {
                condemn(gang, "rank " + rank + " was silent for " + (nowMs - heard) + " ms");
            }
        });
    }

    private static void condemn(Gang gang, String why) {
        if (gang.condemned == null) {
            gang.condemned = why;
        }
    }
}
