package io.pollenreach.daemon.internal.entry;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.rpc.RpcHandler;
import io.pollenreach.internal.claims.RequestTable;
import io.pollenreach.internal.wire.Ack;
import io.pollenreach.internal.wire.Heartbeat;
import io.pollenreach.internal.wire.JobChanged;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.PeerHeartbeat;
import io.pollenreach.internal.wire.PeerStateRequest;
import io.pollenreach.internal.wire.TombstoneReply;
import io.pollenreach.internal.wire.TombstoneRequest;

/**
 * Answers the messages of agents and peers.
 *
 * <p>Safe for use by many threads; it keeps no state.
 */
final class PeerHandler implements RpcHandler {
    private final Blackboard board;
    private final Membership membership;
    private final AgentHeartbeatHandler agents;
    private final ConfigController config;
    private final JobController jobs;
    private final BooleanSupplier joined;

    PeerHandler(
            Blackboard board,
            Membership membership,
            AgentHeartbeatHandler agents,
            ConfigController config,
            JobController jobs,
            BooleanSupplier joined) {
        this.board = board;
        this.membership = membership;
        this.agents = agents;
        this.config = config;
        this.jobs = jobs;
        this.joined = joined;
    }

    @Override
    public CompletableFuture<Message> handle(Message m) {
        try {
            return CompletableFuture.completedFuture(answer(m));
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private Message answer(Message m) {
        if (m instanceof Heartbeat) {
            return agents.handle((Heartbeat) m);
        }
        if (m instanceof PeerHeartbeat) {
            return membership.handle((PeerHeartbeat) m);
        }
        if (m instanceof TombstoneRequest) {
            if (!joined.getAsBoolean()) {
                // An earlier process at this address may have started the request, which this process does not know.
                throw new PollenreachException(ResultCode.NOT_READY, "the entry has not joined its peers");
            }
            TombstoneRequest bury = (TombstoneRequest) m;
            return new TombstoneReply(
                    board.requests().recordTombstone(RequestTable.key(bury.workspace(), bury.requestId())));
        }
        if (m instanceof PeerStateRequest) {
            return config.state();
        }
        if (m instanceof JobChanged) {
            jobs.handleHint(((JobChanged) m).job());
            return new Ack();
        }
        throw new PollenreachException(
                ResultCode.BAD_FRAME, "an entry does not answer " + m.getClass().getSimpleName());
    }
}
