package io.pollenreach.internal.wire;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Answers with what a starting entry must know before it serves.
 *
 * <p>Direction: entry to entry. Immutable.
 *
 * @param configVersion the configuration version in force
 * @param config the whole configuration
 * @param tombstones keys of requests that must never start
 */
public record PeerState(long configVersion, JsonNode config, List<String> tombstones) implements Message {
    public PeerState {
        tombstones = tombstones == null ? List.of() : List.copyOf(tombstones);
    }
}
