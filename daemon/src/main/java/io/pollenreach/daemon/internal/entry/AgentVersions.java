package io.pollenreach.daemon.internal.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import io.pollenreach.internal.membership.TargetTable;

/**
 * The configuration version that each agent homed here has confirmed, and the lowest that each peer reports.
 *
 * <p>Safe for use by many threads; its lock is a leaf.
 */
final class AgentVersions {
    private final Map<String, Confirmed> agents = new HashMap<>();
    private final Map<String, Long> peers = new HashMap<>();

    /** A version and when it was confirmed here. */
    private record Confirmed(long version, long atMs) {}

    synchronized void confirmed(String target, long version, long nowMs) {
        agents.put(target, new Confirmed(version, nowMs));
    }

    synchronized void forget(String target) {
        agents.remove(target);
    }

    /** Notes the lower of a peer's own version and that of its agents. */
    synchronized void peer(String address, long version) {
        peers.put(address, version);
    }

    /**
     * Returns the lowest version among agents that were heard here lately; {@code Long.MAX_VALUE} without any.
     *
     * <p>An agent that moved to another home lives on there, so only silence towards this entry tells that it left.
     */
    synchronized long lowestAgent(long nowMs) {
        agents.values().removeIf(c -> nowMs - c.atMs() > TargetTable.TARGET_SILENCE_MS);
        return agents.values().stream().mapToLong(Confirmed::version).min().orElse(Long.MAX_VALUE);
    }

    /** Returns the lowest version among peers that still live; {@code Long.MAX_VALUE} without any. */
    synchronized long lowestPeer(Predicate<String> live) {
        peers.keySet().removeIf(a -> !live.test(a));
        return peers.values().stream().mapToLong(v -> v).min().orElse(Long.MAX_VALUE);
    }
}
