package io.pollenreach.daemon.internal.agent;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.internal.gang.PartKey;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.PartReport;
import io.pollenreach.internal.wire.PartState;
import io.pollenreach.internal.wire.Reserve;

/**
 * The worker's blackboard: every part that it holds, and every ended part whose end no entry has recorded yet.
 *
 * <p>Invariants: parts that are not waiting never hold more accelerators together than the worker has; at most one
 * nonce of an attempt has live parts. Safe for use by many threads: one lock guards the table and its parts. No future
 * is completed and no call is made under the lock, so no other lock is taken while it is
 * held.
 */
final class PartTable implements PartReporter {
    private final Clock clock;
    private final int accelerators;
    private final AttemptFences fences;
    private final Map<PartKey, HeldPart> parts = new LinkedHashMap<>();
    private long version;

    /**
     * The result of an admitted reservation.
     *
     * @param part the reserved part, whose {@code granted} completes when the accelerators are free
     * @param victims the parts that must be stopped for it
     */
    record Admission(HeldPart part, List<HeldPart> victims) {}

    PartTable(Clock clock, int accelerators) {
        this.clock = clock;
        this.accelerators = accelerators;
        this.fences = new AttemptFences(clock);
    }

    /** Admits a reservation, or fails with {@code STALE_ATTEMPT}, {@code CONFLICT} or {@code NO_CAPACITY}. */
    synchronized Admission reserve(Reserve r) {
        expireReservations();
        AttemptId id = r.id();
        fences.admit(id);
        rejectOtherNonce(id);
        PartKey key = new PartKey(id, r.rank());
        HeldPart known = parts.get(key);
        if (known != null) {
            return admitAgain(known);
        }
        HeldPart part = new HeldPart(key, r.accelerators(), r.ttlMs());
        List<HeldPart> victims = chooseVictims(r);
        parts.put(key, part);
        part.waiting = true;
        markChanged(part);
        return new Admission(part, victims);
    }

    private Admission admitAgain(HeldPart known) {
        if (!known.live()) {
            throw new PollenreachException(
                    ResultCode.STALE_ATTEMPT, "the part has already ended in state " + known.state);
        }
        if (known.state == PartState.RESERVED && !known.waiting) {
            known.expiresMs = clock.nowMs() + known.ttlMs;
        }
        return new Admission(known, List.of());
    }

    private void rejectOtherNonce(AttemptId id) {
        for (HeldPart p : parts.values()) {
            boolean otherNonce = isSameNumber(p.key.id(), id) && !p.key.id().equals(id);
            if (otherNonce && p.live()) {
                throw new PollenreachException(
                        ResultCode.CONFLICT, "another placement holds parts of attempt " + id.attempt());
            }
            if (otherNonce && p.endMustBeRecorded) {
                throw new PollenreachException(
                        ResultCode.STALE_ATTEMPT, "another placement has already run parts of this attempt");
            }
        }
    }

    /**
     * Chooses the parts to stop: all parts of older attempts of the job, then victims of the request in its parts'
     * order of arrival until enough accelerators are free; fails with {@code NO_CAPACITY} if stopping all is not
     * enough.
     */
    private List<HeldPart> chooseVictims(Reserve r) {
        List<HeldPart> chosen = list(p -> p.live() && isOlder(p.key.id(), r.id()));
        int free = accelerators - committedAccelerators();
        if (free >= r.accelerators()) {
            return chosen;
        }
        List<HeldPart> candidates = list(p -> p.live() && r.victims().contains(p.key.id()) && !chosen.contains(p));
        if (chosen.isEmpty() && candidates.isEmpty()) {
            throw noCapacity(r, free);
        }
        for (HeldPart p : list(p -> p.state == PartState.STOPPING || chosen.contains(p))) {
            free += p.accelerators;
        }
        for (HeldPart p : candidates) {
            if (free >= r.accelerators()) {
                break;
            }
            if (p.state != PartState.STOPPING) {
                chosen.add(p);
                free += p.accelerators;
            }
        }
        if (free < r.accelerators()) {
            throw noCapacity(r, free);
        }
        return chosen;
    }

    private static PollenreachException noCapacity(Reserve r, int free) {
        return new PollenreachException(
                ResultCode.NO_CAPACITY, "accelerators needed: " + r.accelerators() + ", available: " + free);
    }

    private static boolean isSameNumber(AttemptId a, AttemptId b) {
        return a.job().equals(b.job()) && a.attempt() == b.attempt();
    }

    private static boolean isOlder(AttemptId a, AttemptId b) {
        return a.job().equals(b.job()) && a.attempt() < b.attempt();
    }

    /** Returns the accelerators that live parts hold or wait for. */
    private int committedAccelerators() {
        return parts.values().stream()
                .filter(HeldPart::live)
                .mapToInt(p -> p.accelerators)
                .sum();
    }

    /** Returns how many accelerators are held by parts now. */
    synchronized int inUse() {
        expireReservations();
        return heldAccelerators();
    }

    private int heldAccelerators() {
        return parts.values().stream()
                .filter(p -> p.live() && !p.waiting)
                .mapToInt(p -> p.accelerators)
                .sum();
    }

    /**
     * Grants accelerators to waiting parts in the order of their arrival while enough are free; returns those parts.
     */
    synchronized List<HeldPart> grantWaiting() {
        List<HeldPart> granted = new ArrayList<>();
        for (HeldPart p : list(p -> p.live() && p.waiting)) {
            if (heldAccelerators() + p.accelerators > accelerators) {
                break;
            }
            p.waiting = false;
            p.expiresMs = clock.nowMs() + p.ttlMs;
            markChanged(p);
            granted.add(p);
        }
        return granted;
    }

    private void expireReservations() {
        long nowMs = clock.nowMs();
        for (HeldPart p : list(p -> p.state == PartState.RESERVED && !p.waiting && !p.taskMayExist)) {
            if (nowMs >= p.expiresMs) {
                p.state = PartState.STOPPED;
                p.detail = "reservation expired";
                markChanged(p);
            }
        }
    }

    /** Records the end of a part; returns false when it has already ended. The caller completes its futures. */
    synchronized boolean end(HeldPart part, PartState state, String detail) {
        if (!part.live()) {
            return false;
        }
        part.state = state;
        part.detail = detail;
        markChanged(part);
        return true;
    }

    /**
     * Refuses an attempt and all older ones of its job from now on.
     *
     * <p>When a placement with the same attempt number and another nonce has live parts here, only older attempts are
     * refused: that placement may be the one that was recorded for this number.
     *
     * @return the parts that must stop
     */
    synchronized List<HeldPart> fence(AttemptId id) {
        boolean otherNonceLive = parts.values().stream()
                .anyMatch(p ->
                        p.live() && isSameNumber(p.key.id(), id) && !p.key.id().equals(id));
        fences.stop(id.job(), otherNonceLive ? id.attempt() - 1 : id.attempt());
        return list(p -> p.live() && (p.key.id().equals(id) || isOlder(p.key.id(), id)));
    }

    /** Changes a part under the lock if the condition holds; returns whether it did. */
    synchronized boolean change(HeldPart part, Predicate<HeldPart> condition, Runnable change) {
        expireReservations();
        if (!condition.test(part)) {
            return false;
        }
        change.run();
        markChanged(part);
        return true;
    }

    /** Returns a consistent report of a part, made under the lock. */
    synchronized PartReport report(HeldPart part) {
        return part.report();
    }

    synchronized Optional<HeldPart> find(PartKey key) {
        expireReservations();
        return Optional.ofNullable(parts.get(key));
    }

    /** Returns the error for a part that is not held: {@code STALE_ATTEMPT} if fenced, else {@code UNKNOWN_PART}. */
    synchronized PollenreachException unknown(PartKey key) {
        try {
            fences.admit(key.id());
        } catch (PollenreachException e) {
            return e;
        }
        return new PollenreachException(ResultCode.UNKNOWN_PART, "no reservation of " + TaskIds.of(key));
    }

    synchronized List<HeldPart> list(Predicate<HeldPart> condition) {
        List<HeldPart> found = new ArrayList<>();
        for (HeldPart p : parts.values()) {
            if (condition.test(p)) {
                found.add(p);
            }
        }
        return found;
    }

    @Override
    public synchronized PartChanges changes(long sinceVersion, boolean whole) {
        expireReservations();
        List<PartReport> reports = new ArrayList<>();
        for (HeldPart p : parts.values()) {
            boolean endUnrecorded = !p.live() && p.endMustBeRecorded;
            if (whole || endUnrecorded || p.version > sinceVersion) {
                reports.add(p.report());
            }
        }
        return new PartChanges(reports, version);
    }

    @Override
    public synchronized void forgetEnded(long reportedVersion, List<AttemptId> settled) {
        parts.values()
                .removeIf(p -> !p.live()
                        && (p.endMustBeRecorded ? settled.contains(p.key.id()) : p.version <= reportedVersion));
    }

    private void markChanged(HeldPart part) {
        version++;
        part.version = version;
    }
}
