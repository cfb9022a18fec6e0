package io.pollenreach.daemon.internal.settings;

import java.util.List;
import java.util.Set;

/**
 * Settings of the program {@code entry}.
 *
 * <p>Immutable. Addresses are {@code ip:port}.
 *
 * @param id the entry's name
 * @param region the region that it stands in
 * @param zone the availability zone that it stands in
 * @param httpAddress where it serves the resource API, metrics and health
 * @param rpcAddress where it listens for agents and peers
 * @param peers addresses of other entries or of the balancer before them, to find the living ones
 * @param platformUri the platform's base address, {@code http://ip:port}
 * @param operatorTokenSha256 the SHA-256 of the operators' token, in lower-case hexadecimal
 * @param maxBodyBytes the largest request or declaration that is accepted
 * @param drainTimeoutMs how long a graceful shutdown waits for requests in flight, in milliseconds
 */
public record EntrySettings(
        String id,
        String region,
        String zone,
        String httpAddress,
        String rpcAddress,
        List<String> peers,
        String platformUri,
        String operatorTokenSha256,
        int maxBodyBytes,
        long drainTimeoutMs) {
    /** The settings that take effect without a restart. */
    public static final Set<String> LIVE = Set.of("peers", "operatorTokenSha256", "drainTimeoutMs");

    public EntrySettings {
        peers = peers == null ? List.of() : List.copyOf(peers);
    }
}
