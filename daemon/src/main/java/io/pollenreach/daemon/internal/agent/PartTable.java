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
 * The worker's blackboard: every part that it holds, and every end that no entry has recorded yet.
 *
 * <p>Invariants: parts that are not waiting never hold more accelerators together than the worker has; at most one nonce
 * of an attempt is alive. Safe for use by many threads: one lock guards the table and its parts. No future is completed
 * and no call is made under the lock, so it comes last in every lock order.
 */
final class PartTable implements PartReporter {
    private final Clock clock;
    private final int accelerators;
    private final AttemptFences fences;
    private final Map<PartKey, HeldPart> parts = new LinkedHashMap<>();
    private long version;

    /**
     * What a reservation needs.
     *
     * @param part the part, whose {@code granted} completes when the accelerators are free
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
        lapseReservations();
        AttemptId id = r.id();
        fences.admit(id);
        refuseOtherNonce(id);
        PartKey key = new PartKey(id, r.rank());
        HeldPart known = parts.get(key);
        if (known != null) {
            return repeated(known);
        }
        HeldPart part = new HeldPart(key, r.accelerators(), r.ttlMs());
        List<HeldPart> victims = victims(r);
        parts.put(key, part);
        part.waiting = true;
        touch(part);
        return new Admission(part, victims);
    }

    private Admission repeated(HeldPart known) {
        if (!known.live()) {
            throw new PollenreachException(ResultCode.STALE_ATTEMPT, "the part has ended: " + known.state);
        }
        if (known.state == PartState.RESERVED && !known.waiting) {
            known.expiresMs = clock.nowMs() + known.ttlMs;
        }
        return new Admission(known, List.of());
    }

    private void refuseOtherNonce(AttemptId id) {
        for (HeldPart p : parts.values()) {
            boolean rival = sameNumber(p.key.id(), id) && !p.key.id().equals(id);
            if (rival && p.live()) {
                throw new PollenreachException(ResultCode.CONFLICT, "another placement holds attempt " + id.attempt());
            }
            if (rival && p.endMustBeRecorded) {
                throw new PollenreachException(ResultCode.STALE_ATTEMPT, "another placement ran this attempt");
            }
        }
    }

    /** Picks the fewest victims in the given order; fails with {@code NO_CAPACITY} when all would not do. */
    private List<HeldPart> victims(Reserve r) {
        List<HeldPart> chosen = list(p -> p.live() && isOlder(p.key.id(), r.id()));
        int free = accelerators - promised();
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
        return new PollenreachException(ResultCode.NO_CAPACITY, "needs " + r.accelerators() + ", free " + free);
    }

    private static boolean sameNumber(AttemptId a, AttemptId b) {
        return a.job().equals(b.job()) && a.attempt() == b.attempt();
    }

    private static boolean isOlder(AttemptId a, AttemptId b) {
        return a.job().equals(b.job()) && a.attempt() < b.attempt();
    }

    /** Returns what is held or waited for. */
    private int promised() {
        return parts.values().stream()
                .filter(HeldPart::live)
                .mapToInt(p -> p.accelerators)
                .sum();
    }

    /** Returns the accelerators that are held now. */
    synchronized int inUse() {
        lapseReservations();
        return held();
    }

    private int held() {
        return parts.values().stream()
                .filter(p -> p.live() && !p.waiting)
                .mapToInt(p -> p.accelerators)
                .sum();
    }

    /** Lets waiting parts hold accelerators in the order of their arrival, and returns those whose turn has come. */
    synchronized List<HeldPart> grantWaiting() {
        List<HeldPart> granted = new ArrayList<>();
        for (HeldPart p : list(p -> p.live() && p.waiting)) {
            if (held() + p.accelerators > accelerators) {
                break;
            }
            p.waiting = false;
            p.expiresMs = clock.nowMs() + p.ttlMs;
            touch(p);
            granted.add(p);
        }
        return granted;
    }

    private void lapseReservations() {
        long nowMs = clock.nowMs();
        for (HeldPart p : list(p -> p.state == PartState.RESERVED && !p.waiting && !p.taskMayExist)) {
            if (nowMs >= p.expiresMs) {
                p.state = PartState.STOPPED;
                p.detail = "reservation lapsed";
                touch(p);
            }
        }
    }

    /** Ends a part; returns false when it has ended before. The caller completes its future. */
    synchronized boolean end(HeldPart part, PartState state, String detail) {
        if (!part.live()) {
            return false;
        }
        part.state = state;
        part.detail = detail;
        touch(part);
        return true;
    }

    /**
     * Refuses an attempt and its elders from now on.
     *
     * <p>The same number under another nonce that is alive here is left alone: that placement may have won the number.
     *
     * @return the parts that must stop
     */
    synchronized List<HeldPart> fence(AttemptId id) {
        boolean rival = parts.values().stream()
                .anyMatch(p ->
                        p.live() && sameNumber(p.key.id(), id) && !p.key.id().equals(id));
        fences.stop(id.job(), rival ? id.attempt() - 1 : id.attempt());
        return list(p -> p.live() && (p.key.id().equals(id) || isOlder(p.key.id(), id)));
    }

    /** Changes a part under the lock when it is in one of the states that the condition accepts. */
    synchronized boolean change(HeldPart part, Predicate<HeldPart> condition, Runnable change) {
        lapseReservations();
        if (!condition.test(part)) {
            return false;
        }
        change.run();
        touch(part);
        return true;
    }

    /** Reads something of a part under the lock. */
    synchronized PartReport report(HeldPart part) {
        return part.report();
    }

    synchronized Optional<HeldPart> find(PartKey key) {
        lapseReservations();
        return Optional.ofNullable(parts.get(key));
    }

    /** Fails with {@code STALE_ATTEMPT} for a fenced attempt, else with {@code UNKNOWN_PART}. */
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
        lapseReservations();
        List<PartReport> reports = new ArrayList<>();
        for (HeldPart p : parts.values()) {
            boolean unsettled = !p.live() && p.endMustBeRecorded;
            if (whole || unsettled || p.version > sinceVersion) {
                reports.add(p.report());
            }
        }
        return new PartChanges(reports, version);
    }

    @Override
    public synchronized void forgetEnded(long reportedVersion, List<AttemptId> settled) {
        parts.values()
                .removeIf(
                        p -> !p.live() && (p.endMustBeRecorded ? settled.contains(p.key.id()) : p.version <= reportedVersion));
    }

    private void touch(HeldPart part) {
        version++;
        part.version = version;
    }
}
