package io.pollenreach.daemon.internal.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.rpc.Rpc;
import io.pollenreach.internal.gang.GangLeader;
import io.pollenreach.internal.gang.GangMember;
import io.pollenreach.internal.gang.GangTimes;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.GangHeartbeat;
import io.pollenreach.internal.wire.GangHeartbeatReply;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.PartReport;

/**
 * Beats to the leaders of gangs, answers as a leader, and stops parts that may not go on.
 *
 * <p>Invariant: {@link #enforce()} runs before leases are renewed and beats are sent, so a process that was paused stops
 * its overdue parts first. {@link #enforce()} and {@link #beat()} are called from one thread; beats of others come on
 * any.
 */
final class GangGuard {
    private static final Events EVENTS = Events.of(GangGuard.class);

    private final String self;
    private final PartTable table;
    private final PartStopper stopper;
    private final GangMember member;
    private final GangLeader leader;
    private final Rpc rpc;
    private final Clock clock;

    GangGuard(
            String self,
            PartTable table,
            PartStopper stopper,
            GangMember member,
            GangLeader leader,
            Rpc rpc,
            Clock clock) {
        this.self = self;
        this.table = table;
        this.stopper = stopper;
        this.member = member;
        this.leader = leader;
        this.rpc = rpc;
        this.clock = clock;
    }

    /** Stops the parts that were not released in time or not allowed to go on. */
    void enforce() {
        for (GangMember.Overdue overdue : member.overdue()) {
            AttemptId id = overdue.key().id();
            String why = leader.stopCause(id).orElse(overdue.reason().name());
            EVENTS.warn(
                    "gang-part-stopped",
                    "job",
                    id.job(),
                    "attempt",
                    id.attempt(),
                    "rank",
                    overdue.key().rank(),
                    "overdueMs",
                    overdue.overdueMs(),
                    "why",
                    why);
            member.remove(overdue.key());
            table.find(overdue.key()).ifPresent(p -> stopper.stop(p, 0, "gang: " + why));
        }
    }

    /** Tells each leader where its parts stand. */
    void beat() {
        Map<Part, List<HeldPart>> byLeader = new HashMap<>();
        for (HeldPart part : table.list(GangGuard::beats)) {
            leaderOf(part, byLeader);
        }
        byLeader.forEach((to, parts) -> {
            if (to.worker().equals(self)) {
                tellMyself(parts);
            } else {
                tell(to.address(), parts);
            }
        });
        leader.removeInactive();
    }

    private static boolean beats(HeldPart part) {
        if (!part.hasPeers() || !part.preparing.isDone()) {
            return false;
        }
        return part.live() || !part.leaderTold;
    }

    private static void leaderOf(HeldPart part, Map<Part, List<HeldPart>> byLeader) {
        part.gang.stream().filter(p -> p.rank() == 0).findFirst().ifPresent(p -> {
            // Gangs that one agent leads share a beat whatever their shapes are.
            Part to = new Part(0, p.worker(), p.address(), 0);
            byLeader.computeIfAbsent(to, k -> new ArrayList<>()).add(part);
        });
    }

    private void tellMyself(List<HeldPart> parts) {
        parts.forEach(p -> told(p, table.report(p)));
        List<PartReport> reports = parts.stream().map(table::report).toList();
        answer(reports).forEach(id -> member.recordPermission(id, clock.nowMs()));
    }

    private void tell(String address, List<HeldPart> parts) {
        long sentMs = clock.nowMs();
        List<PartReport> reports = parts.stream().map(table::report).toList();
        rpc.call(address, new GangHeartbeat(self, reports), GangHeartbeatReply.class, GangTimes.GANG_TIMEOUT_MS)
                .whenComplete((reply, t) -> {
                    if (t != null) {
                        EVENTS.debug("gang-beat-failed", "leader", address, "why", t.getMessage());
                        return;
                    }
                    reply.goOn().forEach(id -> member.recordPermission(id, sentMs));
                    for (int i = 0; i < parts.size(); i++) {
                        told(parts.get(i), reports.get(i));
                    }
                });
    }

    private static void told(HeldPart part, PartReport report) {
        if (report.state().ended()) {
            part.leaderTold = true;
        }
    }

    /** Answers the beat of another agent. */
    GangHeartbeatReply handle(GangHeartbeat beat) {
        return new GangHeartbeatReply(answer(beat.parts()));
    }

    private List<AttemptId> answer(List<PartReport> reports) {
        Set<AttemptId> ids = new LinkedHashSet<>();
        for (PartReport r : reports) {
            boolean before = leader.stopCause(r.id()).isPresent();
            leader.recordHeartbeat(r.id(), r.rank(), r.state());
            ids.add(r.id());
            if (!before) {
                leader.stopCause(r.id()).ifPresent(why -> logCondemned(r.id(), why));
            }
        }
        return ids.stream().filter(leader::mayContinue).toList();
    }

    private static void logCondemned(AttemptId id, String why) {
        EVENTS.warn("gang-stopped", "job", id.job(), "attempt", id.attempt(), "why", why);
    }
}
