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
 * @param lossAgoMs milliseconds since the sender noticed the loss of an entry; null when it noticed none
 */
public record PeerState(long configVersion, JsonNode config, List<String> tombstones, Long lossAgoMs)
        implements Message {
    public PeerState {
        tombstones = tombstones == null ? List.of() : List.copyOf(tombstones);
    }

    /** Creates the state of an entry that noticed no loss. */
    public PeerState(long configVersion, JsonNode config, List<String> tombstones) {
        this(configVersion, config, tombstones, null);
    }
}
