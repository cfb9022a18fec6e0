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
 * Sends gang heartbeats for the parts on this worker, answers those of other agents for gangs that this agent leads,
 * and stops parts that are no longer allowed to run.
 *
 * <p>The agent that holds rank 0 of a gang leads it. Invariant: {@link #stopOverdueParts()} runs before leases are
 * renewed and heartbeats are sent, so a process that was paused stops its overdue parts first.
 * {@link #stopOverdueParts()} and {@link #sendHeartbeats()} are called from one thread; {@link #handle} may be called
 * from any thread.
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

    /** Stops the parts that were not released in time, or whose leader has not renewed its permission in time. */
    void stopOverdueParts() {
        for (GangMember.Overdue overdue : member.overdue()) {
            AttemptId id = overdue.key().id();
            String reason = leader.stopCause(id).orElse(overdue.reason().name());
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
                    reason);
            member.remove(overdue.key());
            table.find(overdue.key()).ifPresent(p -> stopper.stop(p, 0, "gang: " + reason));
        }
    }

    /** Reports the states of the parts on this worker to the leaders of their gangs. */
    void sendHeartbeats() {
        Map<Part, List<HeldPart>> byLeader = new HashMap<>();
        for (HeldPart part : table.list(GangGuard::needsHeartbeat)) {
            addToLeader(part, byLeader);
        }
        byLeader.forEach((to, parts) -> {
            if (to.worker().equals(self)) {
                reportToSelf(parts);
            } else {
                reportTo(to.address(), parts);
            }
        });
        leader.removeInactive();
    }

    private static boolean needsHeartbeat(HeldPart part) {
        if (!part.hasPeers() || !part.preparing.isDone()) {
            return false;
        }
        return part.live() || !part.endReportedToLeader;
    }

    private static void addToLeader(HeldPart part, Map<Part, List<HeldPart>> byLeader) {
        part.gang.stream().filter(p -> p.rank() == 0).findFirst().ifPresent(p -> {
            // Gangs that are led by the same agent share one heartbeat, whatever their shapes are, so rank 0 and no
            // accelerators stand in the key.
            Part to = new Part(0, p.worker(), p.address(), 0);
            byLeader.computeIfAbsent(to, k -> new ArrayList<>()).add(part);
        });
    }

    private void reportToSelf(List<HeldPart> parts) {
        parts.forEach(p -> markReported(p, table.report(p)));
        List<PartReport> reports = parts.stream().map(table::report).toList();
        recordReports(reports).forEach(id -> member.recordPermission(id, clock.nowMs()));
    }

    private void reportTo(String address, List<HeldPart> parts) {
        long sentMs = clock.nowMs();
        List<PartReport> reports = parts.stream().map(table::report).toList();
        rpc.call(address, new GangHeartbeat(self, reports), GangHeartbeatReply.class, GangTimes.GANG_TIMEOUT_MS)
                .whenComplete((reply, t) -> {
                    if (t != null) {
                        EVENTS.debug("gang-heartbeat-failed", "leader", address, "why", t.getMessage());
                        return;
                    }
                    reply.goOn().forEach(id -> member.recordPermission(id, sentMs));
                    for (int i = 0; i < parts.size(); i++) {
                        markReported(parts.get(i), reports.get(i));
                    }
                });
    }

    private static void markReported(HeldPart part, PartReport report) {
        if (report.state().ended()) {
            part.endReportedToLeader = true;
        }
    }

    /** Records the states in another agent's heartbeat and returns the attempts that are allowed to continue. */
    GangHeartbeatReply handle(GangHeartbeat heartbeat) {
        return new GangHeartbeatReply(recordReports(heartbeat.parts()));
    }

    private List<AttemptId> recordReports(List<PartReport> reports) {
        Set<AttemptId> ids = new LinkedHashSet<>();
        for (PartReport r : reports) {
            boolean stoppedBefore = leader.stopCause(r.id()).isPresent();
            leader.recordHeartbeat(r.id(), r.rank(), r.state());
            ids.add(r.id());
            if (!stoppedBefore) {
                leader.stopCause(r.id()).ifPresent(reason -> logGangStopped(r.id(), reason));
            }
        }
        return ids.stream().filter(leader::mayContinue).toList();
    }

    private static void logGangStopped(AttemptId id, String reason) {
        EVENTS.warn("gang-stopped", "job", id.job(), "attempt", id.attempt(), "why", reason);
    }
}
