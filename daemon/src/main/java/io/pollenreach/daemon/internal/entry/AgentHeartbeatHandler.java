package io.pollenreach.daemon.internal.entry;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.json.Json;
import io.pollenreach.internal.membership.EntryInfo;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Heartbeat;
import io.pollenreach.internal.wire.HeartbeatReply;
import io.pollenreach.internal.wire.PartReport;
import io.pollenreach.internal.wire.TargetInfo;
import io.pollenreach.internal.wire.TargetKind;
import io.pollenreach.internal.wire.WorkerParts;

/**
 * Answers the heartbeats of agents.
 *
 * <p>Invariants: an agent is told that an attempt is settled only when the job's row shows that the attempt is over; of
 * one name only the agent that started last is answered, as far as this entry knows.
 * Safe for use by many threads.
 */
final class AgentHeartbeatHandler {
    private static final Events EVENTS = Events.of(AgentHeartbeatHandler.class);

    private final Blackboard board;
    private final Clock clock;
    private final Runnable jobsChanged;
    private final Runnable runnersChanged;

    AgentHeartbeatHandler(Blackboard board, Clock clock, Runnable jobsChanged, Runnable runnersChanged) {
        this.board = board;
        this.clock = clock;
        this.jobsChanged = jobsChanged;
        this.runnersChanged = runnersChanged;
    }

    /**
     * Records the state that an agent reports and returns the response to its heartbeat.
     *
     * <p>Fails with {@code CONFLICT} when a later started agent has announced itself under the same name: the older one
     * would otherwise let its tasks run, while the silence of the later one ends their leases here.
     */
    HeartbeatReply handle(Heartbeat beat) {
        TargetInfo target = beat.target();
        rejectSuperseded(target);
        if (beat.leaving()) {
            left(target);
        } else {
            announced(beat);
        }
        return reply(beat);
    }

    private void rejectSuperseded(TargetInfo target) {
        Optional<TargetInfo> known = board.targets().lastKnown(target.id());
        if (known.filter(k -> k.incarnation() > target.incarnation()).isPresent()) {
            throw new PollenreachException(
                    ResultCode.CONFLICT,
                    "a later started agent at " + known.get().address() + " announces itself as " + target.id());
        }
    }

    private void left(TargetInfo target) {
        boolean known = board.targets().left(target.id(), clock.nowMs());
        board.agentVersions().forget(target.id());
        if (known) {
            EVENTS.info("target-left", "target", target.id(), "zone", target.zone());
            jobsChanged.run();
        }
    }

    private void announced(Heartbeat beat) {
        TargetInfo target = beat.target();
        boolean unseen = board.targets().find(target.id()).isEmpty();
        boolean news = board.targets().announced(target, clock.nowMs());
        if (unseen && news) {
            EVENTS.info("target-joined", "target", target.id(), "kind", target.kind(), "zone", target.zone());
        }
        board.agentVersions().confirmed(target.id(), beat.configVersion());
        boolean partsChanged = target.kind() == TargetKind.WORKER && takeParts(beat);
        if (target.kind() == TargetKind.RUNNER) {
            runnersChanged.run();
        } else if (unseen || partsChanged) {
            jobsChanged.run();
        }
    }

    private boolean takeParts(Heartbeat beat) {
        TargetInfo t = beat.target();
        WorkerParts parts = new WorkerParts(t.id(), t.incarnation(), t.sequence(), beat.parts());
        if (beat.whole()) {
            return board.parts().putIfNewer(parts);
        }
        boolean known = board.parts().merge(parts, settled(beat.parts()));
        if (!known) {
            // The agent sends its whole list after a failed heartbeat.
            throw new PollenreachException(ResultCode.UNKNOWN_PART, "the whole list of " + t.id() + " is not known");
        }
        return !beat.parts().isEmpty();
    }

    private HeartbeatReply reply(Heartbeat beat) {
        long now = clock.nowMs();
        ConfigSnapshot config = board.config().get();
        boolean current = beat.configVersion() >= config.version();
        return new HeartbeatReply(
                board.entries().homeOf(beat.target().id(), now),
                board.entries().live(now).stream().map(EntryInfo::address).toList(),
                config.version(),
                current ? null : configOf(config, beat.target().id()),
                settled(beat.parts()));
    }

    private static ObjectNode configOf(ConfigSnapshot config, String target) {
        ObjectNode node = Json.lenient().createObjectNode();
        node.put("draining", config.draining().contains(target));
        return node;
    }

    private List<AttemptId> settled(List<PartReport> parts) {
        return parts.stream()
                .filter(p -> p.state().ended() && over(p.id()))
                .map(PartReport::id)
                .distinct()
                .toList();
    }

    private boolean over(AttemptId id) {
        Optional<JobRow> row = board.jobs().get(id.job());
        if (row.isEmpty()) {
            return false;
        }
        JobRecord job = row.get().record();
        if (id.attempt() > job.attempt()) {
            return false;
        }
        return !job.state().placed() || !id.equals(job.attemptId());
    }
}
