package io.pollenreach.daemon.internal.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The configuration version that each agent homed here has confirmed, and the lowest that each peer reports.
 *
 * <p>Safe for use by many threads; no other lock is taken while its lock is held.
 */
final class AgentVersions {
    private final Map<String, Long> agents = new HashMap<>();
    private final Map<String, Long> peers = new HashMap<>();

    synchronized void confirmed(String target, long version) {
        agents.put(target, version);
    }

    synchronized void forget(String target) {
        agents.remove(target);
    }

    /** Records the lower of a peer's own version and that of its agents. */
    synchronized void peer(String address, long version) {
        peers.put(address, version);
    }

    /** Returns the lowest version among agents that still live; {@code Long.MAX_VALUE} without any. */
    synchronized long lowestAgent(Predicate<String> live) {
        agents.keySet().removeIf(t -> !live.test(t));
        return agents.values().stream().mapToLong(v -> v).min().orElse(Long.MAX_VALUE);
    }

    /** Returns the lowest version among peers that still live; {@code Long.MAX_VALUE} without any. */
    synchronized long lowestPeer(Predicate<String> live) {
        peers.keySet().removeIf(a -> !live.test(a));
        return peers.values().stream().mapToLong(v -> v).min().orElse(Long.MAX_VALUE);
    }
}
