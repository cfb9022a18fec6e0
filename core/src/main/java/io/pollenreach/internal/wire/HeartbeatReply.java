package io.pollenreach.internal.wire;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Answers a heartbeat.
 *
 * <p>Direction: entry to agent. Immutable.
 *
 * @param home the entry that the agent should announce itself to from now on, as {@code ip:port}
 * @param entries all entries that live
 * @param configVersion the configuration version in force at the entry
 * @param config the part of the configuration that agents use; null when the agent already has this version
 * @param settled attempts whose end is recorded, which the agent may forget
 */
public record HeartbeatReply(
        String home, List<String> entries, long configVersion, JsonNode config, List<AttemptId> settled)
        implements Message {
    public HeartbeatReply {
        entries = entries == null ? List.of() : List.copyOf(entries);
        settled = settled == null ? List.of() : List.copyOf(settled);
    }
}
