package io.pollenreach.internal.wire;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Whatever passes between the processes of the system.
 *
 * <p>The name that is listed here for each type travels in the field {@code t}. Receivers ignore unknown fields, so
 * that a newer process can talk to an older one. Implementations are immutable.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Heartbeat.class, name = "Heartbeat"),
    @JsonSubTypes.Type(value = HeartbeatReply.class, name = "HeartbeatReply"),
    @JsonSubTypes.Type(value = Reserve.class, name = "Reserve"),
    @JsonSubTypes.Type(value = Reserved.class, name = "Reserved"),
    @JsonSubTypes.Type(value = Unreserve.class, name = "Unreserve"),
    @JsonSubTypes.Type(value = Prepare.class, name = "Prepare"),
    @JsonSubTypes.Type(value = Release.class, name = "Release"),
    @JsonSubTypes.Type(value = Stop.class, name = "Stop"),
    @JsonSubTypes.Type(value = PartReply.class, name = "PartAnswer"),
    @JsonSubTypes.Type(value = GangHeartbeat.class, name = "GangBeat"),
    @JsonSubTypes.Type(value = GangHeartbeatReply.class, name = "GangBeatReply"),
    @JsonSubTypes.Type(value = Execute.class, name = "Execute"),
    @JsonSubTypes.Type(value = OutcomeQuery.class, name = "Inquire"),
    @JsonSubTypes.Type(value = Executed.class, name = "Executed"),
    @JsonSubTypes.Type(value = PeerHeartbeat.class, name = "PeerBeat"),
    @JsonSubTypes.Type(value = PeerHeartbeatReply.class, name = "PeerBeatReply"),
    @JsonSubTypes.Type(value = TombstoneRequest.class, name = "Bury"),
    @JsonSubTypes.Type(value = TombstoneReply.class, name = "Buried"),
    @JsonSubTypes.Type(value = PeerStateRequest.class, name = "PullState"),
    @JsonSubTypes.Type(value = PeerState.class, name = "PeerState"),
    @JsonSubTypes.Type(value = JobChanged.class, name = "Hint"),
    @JsonSubTypes.Type(value = Ack.class, name = "Ack"),
    @JsonSubTypes.Type(value = Failure.class, name = "Failure")
})
public sealed interface Message
        permits Heartbeat,
                HeartbeatReply,
                Reserve,
                Reserved,
                Unreserve,
                Prepare,
                Release,
                Stop,
                PartReply,
                GangHeartbeat,
                GangHeartbeatReply,
                Execute,
                OutcomeQuery,
                Executed,
                PeerHeartbeat,
                PeerHeartbeatReply,
                TombstoneRequest,
                TombstoneReply,
                PeerStateRequest,
                PeerState,
                JobChanged,
                Ack,
                Failure {}
