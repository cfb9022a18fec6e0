package io.pollenreach.daemon.internal.settings;

import java.util.List;
import java.util.Set;

import io.pollenreach.internal.wire.TargetKind;

/**
 * Settings of the program {@code agent}.
 *
 * <p>Immutable. Addresses are {@code ip:port}.
 *
 * @param id the target's name
 * @param kind whether the target is a worker or a runner
 * @param service the service that a runner serves; empty for a worker
 * @param zone the availability zone that it stands in
 * @param rack the rack within the zone
 * @param httpAddress where the agent serves metrics and health
 * @param rpcAddress where it listens for entries and other agents
 * @param entries addresses of entries or of the balancer before them
 * @param targetUri the base address of the worker's runtime (such as {@code http://ip:port/workers/w1}) or of the
 *     runner
 * @param accelerators how many accelerators a worker has
 * @param slots how many requests a runner serves at once
 * @param connections the most connections to a runner
 * @param drainTimeoutMs how long a graceful shutdown waits for requests in flight, in milliseconds
 */
public record AgentSettings(
        String id,
        TargetKind kind,
        String service,
        String zone,
        String rack,
        String httpAddress,
        String rpcAddress,
        List<String> entries,
        String targetUri,
        int accelerators,
        int slots,
        int connections,
        long drainTimeoutMs) {
    /** The settings that take effect without a restart. */
    public static final Set<String> LIVE = Set.of("entries", "drainTimeoutMs");

    public AgentSettings {
        entries = entries == null ? List.of() : List.copyOf(entries);
    }
}
