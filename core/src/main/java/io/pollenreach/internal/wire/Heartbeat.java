package io.pollenreach.internal.wire;

import java.util.List;

/**
 * Announces a target, the parts that changed and what ended.
 *
 * <p>Direction: agent to entry. Immutable.
 *
 * @param target the target as it stands
 * @param parts parts that changed since the last acknowledged heartbeat, or all of them
 * @param whole whether {@code parts} lists every part that the agent holds
 * @param configVersion the configuration version in force at the agent
 * @param leaving whether the target is about to go
 */
public record Heartbeat(TargetInfo target, List<PartReport> parts, boolean whole, long configVersion, boolean leaving)
        implements Message {
    public Heartbeat {
        parts = parts == null ? List.of() : List.copyOf(parts);
    }
}
