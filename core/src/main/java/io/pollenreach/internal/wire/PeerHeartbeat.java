package io.pollenreach.internal.wire;

import java.util.List;

/**
 * Tells a peer that the sender lives, and what changed among its targets.
 *
 * <p>Direction: entry to entry. Immutable.
 *
 * @param from the sender's address, as {@code ip:port}
 * @param zone the sender's availability zone
 * @param incarnation grows with each start of the sender
 * @param draining whether the sender is shutting down
 * @param configVersion the configuration version in force at the sender
 * @param agentsConfigVersion the lowest configuration version among the agents homed at the sender
 * @param targets targets homed at the sender that changed
 * @param parts the parts of workers homed at the sender of which some changed
 * @param gone ids of targets that left the sender
 * @param peers addresses of the entries that the sender knows
 */
public record PeerHeartbeat(
        String from,
        String zone,
        long incarnation,
        boolean draining,
        long configVersion,
        long agentsConfigVersion,
        List<TargetInfo> targets,
        List<WorkerParts> parts,
        List<String> gone,
        List<String> peers)
        implements Message {
    public PeerHeartbeat {
        targets = targets == null ? List.of() : List.copyOf(targets);
        parts = parts == null ? List.of() : List.copyOf(parts);
        gone = gone == null ? List.of() : List.copyOf(gone);
        peers = peers == null ? List.of() : List.copyOf(peers);
    }
}
