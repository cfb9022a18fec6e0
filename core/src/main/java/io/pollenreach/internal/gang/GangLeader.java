package io.pollenreach.internal.gang;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.pollenreach.Clock;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.PartState;

/**
 * Decides which of the gangs that this agent leads may continue to run.
 *
 * <p>Invariants: an attempt may continue only while each part has sent a heartbeat within
 * {@link GangTimes#GANG_TIMEOUT_MS} or has succeeded; an attempt that has a stop cause never gets permission again.
 * Safe for use by many threads.
 *
 * <pre>{@code
 * leader.addGang(id, List.of(0, 1));
 * leader.recordHeartbeat(id, 0, PartState.RUNNING);
 * leader.recordHeartbeat(id, 1, PartState.RUNNING);
 * leader.mayContinue(id); // true
 * }</pre>
 */
public final class GangLeader {
    private static final long RETENTION_MS = 60_000;

    private final Clock clock;
    private final Map<AttemptId, Gang> gangs = new HashMap<>();

    private static final class Gang {
        private final Map<Integer, Long> heartbeatMsByRank = new HashMap<>();
        private final Map<Integer, Boolean> succeeded = new HashMap<>();
        private String stopCause;
        private long lastActivityMs;
    }

    /** Creates a leader without gangs. */
    public GangLeader(Clock clock) {
        this.clock = clock;
    }

    /** Adds an attempt with the ranks of its parts; does nothing if it has been added before. */
    public synchronized void addGang(AttemptId id, Collection<Integer> ranks) {
        if (gangs.containsKey(id)) {
            return;
        }
        Gang gang = new Gang();
        ranks.forEach(r -> gang.succeeded.put(r, false));
        gang.lastActivityMs = clock.nowMs();
        gangs.put(id, gang);
    }

    /** Records the heartbeat of a part; ignores unknown attempts and ranks. */
    public synchronized void recordHeartbeat(AttemptId id, int rank, PartState state) {
        Gang gang = gangs.get(id);
        if (gang == null || !gang.succeeded.containsKey(rank)) {
            return;
        }
        long nowMs = clock.nowMs();
        gang.lastActivityMs = nowMs;
        if (gang.succeeded.get(rank)) {
            return;
        }
        stopIfPartUnresponsive(gang, nowMs);
        switch (state) {
            case SUCCEEDED:
                gang.succeeded.put(rank, true);
                break;
            case PREPARED:
            case RUNNING:
                gang.heartbeatMsByRank.put(rank, nowMs);
                break;
            default:
                recordStopCause(gang, "rank " + rank + " is " + state);
        }
    }

    /**
     * Tells whether an attempt may continue: each part has sent a heartbeat or succeeded, none has timed out, failed or
     * stopped.
     */
    public synchronized boolean mayContinue(AttemptId id) {
        Gang gang = gangs.get(id);
        if (gang == null) {
            return false;
        }
        stopIfPartUnresponsive(gang, clock.nowMs());
        if (gang.stopCause != null) {
            return false;
        }
        return gang.succeeded.entrySet().stream()
                .allMatch(e -> e.getValue() || gang.heartbeatMsByRank.containsKey(e.getKey()));
    }

    /** Returns why an attempt must stop; empty while it has no stop cause. */
    public synchronized Optional<String> stopCause(AttemptId id) {
        return Optional.ofNullable(gangs.get(id)).map(g -> g.stopCause);
    }

    /** Removes gangs that have received no heartbeat for a minute. */
    public synchronized void removeInactive() {
        long nowMs = clock.nowMs();
        gangs.values().removeIf(g -> nowMs - g.lastActivityMs > RETENTION_MS);
    }

    private static void stopIfPartUnresponsive(Gang gang, long nowMs) {
        gang.heartbeatMsByRank.forEach((rank, heartbeatMs) -> {
            if (!gang.succeeded.get(rank) && nowMs - heartbeatMs > GangTimes.GANG_TIMEOUT_MS) {
                recordStopCause(gang, "rank " + rank + " sent no heartbeat for " + (nowMs - heartbeatMs) + " ms");
            }
        });
    }

    private static void recordStopCause(Gang gang, String why) {
        if (gang.stopCause == null) {
            gang.stopCause = why;
        }
    }
}
