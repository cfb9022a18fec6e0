package io.pollenreach.internal.wire;

import java.util.List;

/**
 * Answers a gang heartbeat with the attempts that may go on.
 *
 * <p>Direction: agent to agent. Immutable.
 *
 * @param goOn attempts of which the leader has heard every part recently
 */
public record GangHeartbeatReply(List<AttemptId> goOn) implements Message {
    public GangHeartbeatReply {
        goOn = goOn == null ? List.of() : List.copyOf(goOn);
    }
}
