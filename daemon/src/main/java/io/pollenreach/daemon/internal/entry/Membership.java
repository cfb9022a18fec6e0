package io.pollenreach.daemon.internal.entry;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.rpc.Rpc;
import io.pollenreach.internal.membership.EntryInfo;
import io.pollenreach.internal.membership.TargetChanges;
import io.pollenreach.internal.wire.PeerHeartbeat;
import io.pollenreach.internal.wire.PeerHeartbeatReply;
import io.pollenreach.internal.wire.TargetInfo;
import io.pollenreach.internal.wire.WorkerParts;

/**
 * Sends and receives the heartbeats between entries.
 *
 * <p>Invariant: a live peer has been sent every change of the targets and parts homed here, since a peer's position
 * advances only when the peer has responded, and is reset when the peer restarts. Safe for use by many threads.
 */
final class Membership {
    static final long PEER_BEAT_MS = 250;
    private static final long PEER_TIMEOUT_MS = 500;

    private static final Events EVENTS = Events.of(Membership.class);

    private final Blackboard board;
    private final Rpc rpc;
    private final Clock clock;
    private final EntryInfo self;
    private final Runnable changed;
    private final Runnable newerConfig;
    private final Map<String, Position> positions = new ConcurrentHashMap<>();
    private volatile boolean draining;

    private record Position(long incarnation, long targets, long parts) {}

    /**
     * Creates the controller.
     *
     * @param changed runs after a heartbeat that changed the known state of entries, targets or parts
     * @param newerConfig runs when a peer has a newer configuration in force
     */
    Membership(Blackboard board, Rpc rpc, Clock clock, EntryInfo self, Runnable changed, Runnable newerConfig) {
        this.board = board;
        this.rpc = rpc;
        this.clock = clock;
        this.self = self;
        this.changed = changed;
        this.newerConfig = newerConfig;
    }

    /** Sends a heartbeat to every known entry. */
    void beat() {
        for (String address : board.entries().contacts(clock.nowMs())) {
            beat(address);
        }
    }

    private void beat(String address) {
        Position from = positions.getOrDefault(address, new Position(0, 0, 0));
        TargetChanges targets = board.targets().changesSince(from.targets());
        long partsUpTo = board.parts().lastChange();
        PeerHeartbeat beat = message(targets, from);
        rpc.call(address, beat, PeerHeartbeatReply.class, PEER_TIMEOUT_MS).whenComplete((reply, t) -> {
            if (t != null) {
                return;
            }
            long incarnation = reply.mine().incarnation();
            boolean same = from.incarnation() == incarnation;
            positions.put(
                    address,
                    same ? new Position(incarnation, targets.upTo(), partsUpTo) : new Position(incarnation, 0, 0));
            heard(reply.mine());
        });
    }

    private PeerHeartbeat message(TargetChanges targets, Position from) {
        return new PeerHeartbeat(
                self.address(),
                self.zone(),
                self.incarnation(),
                draining,
                board.config().get().version(),
                board.lowestAgentVersion(clock.nowMs()),
                targets.targets(),
                homedParts(from.parts()),
                targets.gone(),
                peerAddresses());
    }

    private List<WorkerParts> homedParts(long since) {
        long now = clock.nowMs();
        return board.parts().changedSince(since).stream()
                .filter(p -> board.entries().homeOf(p.worker(), now).equals(self.address()))
                .toList();
    }

    private List<String> peerAddresses() {
        return board.entries().live(clock.nowMs()).stream()
                .map(EntryInfo::address)
                .toList();
    }

    /** Handles a peer's heartbeat and answers with this entry's own, without a digest. */
    PeerHeartbeatReply handle(PeerHeartbeat beat) {
        heard(beat);
        return new PeerHeartbeatReply(
                message(new TargetChanges(0, List.of(), List.of()), new Position(0, 0, Long.MAX_VALUE)));
    }

    private void heard(PeerHeartbeat beat) {
        long now = clock.nowMs();
        boolean joined = board.entries().heard(beat.from(), beat.zone(), beat.incarnation(), beat.draining(), now);
        if (joined) {
            positions.remove(beat.from());
            EVENTS.info("entry-joined", "entry", beat.from(), "zone", beat.zone(), "incarnation", beat.incarnation());
        }
        board.entries().learnLive(beat.peers(), now);
        board.agentVersions().peer(beat.from(), Math.min(beat.configVersion(), beat.agentsConfigVersion()));
        if (beat.configVersion() > board.config().get().version()) {
            newerConfig.run();
        }
        board.targets().homeHeard(beat.from(), now);
        boolean news = joined;
        for (TargetInfo t : beat.targets()) {
            news |= board.targets().relayed(t, beat.from(), now);
        }
        for (String id : beat.gone()) {
            news |= board.targets().goneAt(id, beat.from(), now);
        }
        for (WorkerParts p : beat.parts()) {
            news |= board.parts().putIfNewer(p);
        }
        if (news) {
            changed.run();
        }
    }

    /** Tells the peers from now on that this entry is shutting down. */
    void drain() {
        draining = true;
        board.entries().drain();
        beat();
    }
}
