package io.pollenreach.daemon.internal.agent;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.services.TaskRuntime;
import io.pollenreach.internal.gang.GangLeader;
import io.pollenreach.internal.gang.GangMember;
import io.pollenreach.internal.gang.PartKey;
import io.pollenreach.internal.wire.Ack;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.PartReply;
import io.pollenreach.internal.wire.PartReport;
import io.pollenreach.internal.wire.PartState;
import io.pollenreach.internal.wire.Prepare;
import io.pollenreach.internal.wire.Release;
import io.pollenreach.internal.wire.Reserve;
import io.pollenreach.internal.wire.Reserved;
import io.pollenreach.internal.wire.Stop;
import io.pollenreach.internal.wire.Unreserve;

/**
 * Decides which parts use a worker's accelerators, and handles the requests of entries about parts.
 *
 * <p>Invariants: a task is created only for a reservation that holds its accelerators, and started at most
 * once, within {@link io.pollenreach.internal.gang.GangTimes#PREPARED_TTL_MS} after it was prepared; requests for a
 * fenced attempt are refused; only a stop of this worker's own part is confirmed. Safe for use by many threads. Lock order: the table's
 * lock, then the gang member's.
 */
final class WorkerGuard {
    private static final Events EVENTS = Events.of(WorkerGuard.class);

    private final String self;
    private final PartTable table;
    private final PartStopper stopper;
    private final TaskRuntime runtime;
    private final GangMember member;
    private final GangLeader leader;
    private final FailureWindow failures;
    private final Clock clock;
    private volatile ResultCode admissionStatus = ResultCode.NOT_READY;

    WorkerGuard(
            String self,
            PartTable table,
            PartStopper stopper,
            TaskRuntime runtime,
            GangMember member,
            GangLeader leader,
            FailureWindow failures,
            Clock clock) {
        this.self = self;
        this.table = table;
        this.stopper = stopper;
        this.runtime = runtime;
        this.member = member;
        this.leader = leader;
        this.failures = failures;
        this.clock = clock;
    }

    /** Accepts requests of entries from now on. */
    void acceptWork() {
        admissionStatus = ResultCode.OK;
    }

    /** Refuses new reservations from now on; parts that are already reserved go on. */
    void drain() {
        admissionStatus = ResultCode.DRAINING;
    }

    /** Handles a request of an entry. */
    CompletableFuture<Message> handle(Message message) {
        if (admissionStatus == ResultCode.NOT_READY) {
            throw new PollenreachException(
                    ResultCode.NOT_READY, "the agent is still stopping the tasks of its predecessor");
        }
        if (message instanceof Reserve) {
            return reserve((Reserve) message);
        }
        if (message instanceof Unreserve) {
            return unreserve((Unreserve) message);
        }
        if (message instanceof Prepare) {
            return prepare((Prepare) message);
        }
        if (message instanceof Release) {
            return release((Release) message);
        }
        if (message instanceof Stop) {
            return stop((Stop) message);
        }
        throw new PollenreachException(
                ResultCode.UNKNOWN_KIND, "a worker's agent does not handle messages of this kind");
    }

    private CompletableFuture<Message> reserve(Reserve r) {
        PartTable.Admission admission;
        try {
            if (admissionStatus == ResultCode.DRAINING) {
                throw new PollenreachException(
                        ResultCode.DRAINING, "the worker is draining and accepts no new reservations");
            }
            admission = table.reserve(r);
        } catch (PollenreachException e) {
            EVENTS.info(
                    "reserve-refused",
                    "job",
                    r.id().job(),
                    "attempt",
                    r.id().attempt(),
                    "code",
                    e.code().number(),
                    "why",
                    e.getMessage());
            throw e;
        }
        for (HeldPart victim : admission.victims()) {
            boolean superseded = victim.key.id().job().equals(r.id().job());
            String reason = superseded ? "superseded by attempt " + r.id().attempt() : "reclaimed for " + r.id().job();
            stopper.stop(victim, superseded ? 0 : r.graceMs(), reason);
        }
        stopper.grantWaiting();
        return admission.part().granted.thenApply(v -> new Reserved(r.id(), r.rank()));
    }

    private CompletableFuture<Message> unreserve(Unreserve u) {
        table.find(new PartKey(u.id(), u.rank()))
                .filter(p -> p.state == PartState.RESERVED && !p.taskMayExist)
                .ifPresent(p -> stopper.stop(p, 0, "reservation cancelled by an entry"));
        return CompletableFuture.completedFuture(new Ack());
    }

    private CompletableFuture<Message> prepare(Prepare p) {
        HeldPart part = find(p.id(), p.rank());
        boolean first = table.change(part, WorkerGuard::canPrepare, () -> {
            part.preparing = new CompletableFuture<>();
            part.taskMayExist = true;
            part.endMustBeRecorded = true;
            part.gang = p.gang();
            part.confirmedRenewalMs = clock.nowMs();
            part.possibleRenewalMs = clock.nowMs();
        });
        if (part.preparing == null) {
            throw new PollenreachException(
                    ResultCode.NO_CAPACITY, "the reservation has expired or has not been granted yet");
        }
        if (first) {
            create(part, p);
        }
        return part.preparing.thenApply(v -> new PartReply(table.report(part)));
    }

    private static boolean canPrepare(HeldPart part) {
        return part.state == PartState.RESERVED && !part.waiting && part.preparing == null;
    }

    private void create(HeldPart part, Prepare p) {
        if (p.rank() == 0) {
            leader.addGang(p.id(), p.gang().stream().map(Part::rank).toList());
        }
        runtime.create(part.task, part.accelerators, p.command(), AgentTimes.TASK_LEASE_MS)
                .whenComplete((v, t) -> onCreated(part, t));
    }

    private void onCreated(HeldPart part, Throwable t) {
        part.possibleRenewalMs = clock.nowMs();
        if (t != null) {
            failures.add();
            part.preparing.completeExceptionally(PollenreachException.of(t));
            stopper.stop(part, 0, "its task could not be created: " + t.getMessage());
            return;
        }
        member.addPrepared(part.key);
        if (table.change(part, q -> q.state == PartState.RESERVED, () -> part.state = PartState.PREPARED)) {
            EVENTS.info("part-prepared", "task", part.task);
            part.preparing.complete(null);
            return;
        }
        member.remove(part.key);
        part.preparing.completeExceptionally(
                new PollenreachException(ResultCode.STALE_ATTEMPT, "the part was stopped while it was being prepared"));
    }

    private CompletableFuture<Message> release(Release r) {
        HeldPart part = find(r.id(), r.rank());
        boolean first = table.change(part, this::releaseInTime, () -> {
            part.starting = new CompletableFuture<>();
            part.startedMs = clock.nowMs();
            part.state = PartState.RUNNING;
        });
        if (first) {
            EVENTS.info("part-released", "task", part.task);
            runtime.start(part.task).whenComplete((v, t) -> onStarted(part, t));
        }
        if (part.starting != null) {
            return part.starting.thenApply(v -> new PartReply(table.report(part)));
        }
        if (part.state == PartState.PREPARED) {
            stopper.stop(part, 0, "the release came too late");
        }
        throw new PollenreachException(ResultCode.STALE_ATTEMPT, "the part cannot be released in state " + part.state);
    }

    private boolean releaseInTime(HeldPart part) {
        boolean released = part.state == PartState.PREPARED && member.release(part.key);
        if (released && !part.hasPeers()) {
            member.remove(part.key);
        }
        return released;
    }

    private void onStarted(HeldPart part, Throwable t) {
        if (t == null) {
            part.starting.complete(null);
            return;
        }
        failures.add();
        part.starting.completeExceptionally(PollenreachException.of(t));
        stopper.stop(part, 0, "its task could not be started: " + t.getMessage());
    }

    private CompletableFuture<Message> stop(Stop s) {
        if (s.worker() != null && !s.worker().equals(self)) {
            // That this worker holds no such part says nothing about the worker whose agent had this address before.
            throw new PollenreachException(
                    ResultCode.UNKNOWN_PART, "this is the agent of " + self + ", not of " + s.worker());
        }
        PartKey key = new PartKey(s.id(), s.rank());
        List<HeldPart> parts = table.fence(s.id());
        parts.forEach(p -> stopper.stop(p, s.graceMs(), "stopped by an entry"));
        return PartStopper.whenAllEnded(parts).thenApply(v -> new PartReply(reportOf(key)));
    }

    private PartReport reportOf(PartKey key) {
        Optional<HeldPart> part = table.find(key);
        return part.map(table::report)
                .orElseGet(() ->
                        new PartReport(key.id(), key.rank(), PartState.STOPPED, 0, "this worker holds no such part"));
    }

    private HeldPart find(AttemptId id, int rank) {
        PartKey key = new PartKey(id, rank);
        return table.find(key).orElseThrow(() -> table.unknown(key));
    }
}
