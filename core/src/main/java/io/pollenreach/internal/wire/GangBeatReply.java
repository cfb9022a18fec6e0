package io.pollenreach.internal.wire;

import java.util.List;

/**
 * Answers a gang heartbeat with the attempts that may go on.
 *
 * <p>Direction: agent to agent. Immutable.
 *
 * @param goOn attempts of which the leader has heard every part recently
 */
public record GangBeatReply(List<AttemptId> goOn) implements Message {
    public GangBeatReply {
        goOn = goOn == null ? List.of() : List.copyOf(goOn);
    }
}
