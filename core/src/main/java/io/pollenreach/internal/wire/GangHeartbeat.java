package io.pollenreach.internal.wire;

import java.util.List;

/**
 * Tells the leader of a gang where the sender's parts stand.
 *
 * <p>Direction: agent to agent. Immutable.
 *
 * @param from the sender's target id
 * @param parts the sender's parts of gangs that the receiver leads
 */
public record GangHeartbeat(String from, List<PartReport> parts) implements Message {
    public GangHeartbeat {
        parts = parts == null ? List.of() : List.copyOf(parts);
    }
}
