package io.pollenreach.daemon.internal.evacuation;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.internal.batch.TaskRun;

/**
 * Tells an agent, before it sends a start, whether its worker's availability zone is under evacuation.
 *
 * <p>Invariants: a start depends on a reading that was sent a small part of the bound ago at most; starts that are due
 * within that time share one; a reading that shows an evacuation is used only by those that waited for it. Safe for use
 * by many threads.
 */
public final class EvacuationGuard {
    /** The part of the bound that a reading may be old; the rest is left to the start's way to the worker. */
    private static final int PART_OF_BOUND = 5;

    private static final Events EVENTS = Events.of(EvacuationGuard.class);

    /**
     * What a reading showed.
     *
     * <p>Immutable.
     *
     * @param zone the availability zone
     * @param evacuated whether it is under evacuation
     * @param sent when the reading was sent
     */
    public record Reading(String zone, boolean evacuated, Moment sent) {}

    /** A time by both clocks: the steady one does not count the time for which a machine is suspended. Immutable. */
    record Moment(long steadyMs, long wallMs) {
        static Moment now(Clock clock) {
            return new Moment(clock.nowMs(), clock.wallMs());
        }

        long ageMs(Clock clock) {
            return Math.max(clock.nowMs() - steadyMs, clock.wallMs() - wallMs);
        }
    }

    /** A reading that was sent and may have been answered. Immutable. */
    private record Pending(String zone, Moment sent, CompletableFuture<Reading> answer) {}

    private final StateStore store;
    private final EvacuationRows names;
    private final Clock clock;
    private final long maxAgeMs;
    private final Counter held;
    private final Counter refused;
    private Pending newest;
    private boolean holding;

    /**
     * Creates a guard that has read nothing yet.
     *
     * @param store the store
     * @param names names the rows that evacuate zones
     * @param clock tells the age of a reading
     * @param boundMs how long after its evacuation a zone may still be sent work, in milliseconds
     * @param metrics the registry for metrics
     */
    public EvacuationGuard(StateStore store, EvacuationRows names, Clock clock, long boundMs, MeterRegistry metrics) {
        this.store = store;
        this.names = names;
        this.clock = clock;
        maxAgeMs = boundMs / PART_OF_BOUND;
        held = Counter.builder("pollenreach.starts.held")
                .description("Starts put off because no reading of the zone's evacuation is recent enough")
                .register(metrics);
        refused = Counter.builder("pollenreach.starts.refused")
                .description("Starts given up because the zone is under evacuation")
                .register(metrics);
    }

    /** Returns a recent reading of a zone's row, or makes one; the future fails with the store's error. */
    public synchronized CompletableFuture<Reading> read(String zone) {
        boolean recent =
                newest != null && newest.zone().equals(zone) && newest.sent().ageMs(clock) <= maxAgeMs;
        if (recent && isUsable(newest.answer())) {
            return newest.answer();
        }
        Moment sent = Moment.now(clock);
        CompletableFuture<Reading> answer = get(zone)
                .thenApply(row -> new Reading(zone, row.flatMap(names::zoneOf).isPresent(), sent));
        newest = new Pending(zone, sent, answer);
        return answer;
    }

    // A call that cannot even be made, for instance to an address that makes no sense, must not lose the start.
    private CompletableFuture<Optional<StoredRow>> get(String zone) {
        try {
            return store.get(names.table(), names.key(zone));
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static boolean isUsable(CompletableFuture<Reading> answer) {
        return !answer.isDone()
                || !answer.isCompletedExceptionally() && !answer.join().evacuated();
    }

    /** Tells whether a reading is recent enough to start something by it. */
    public boolean isRecent(Reading reading) {
        return reading.sent().ageMs(clock) <= maxAgeMs;
    }

    /** Records that a start was put off, with the failure of the reading; logs the first since one was allowed. */
    public synchronized void noteHeld(TaskRun run, String zone, PollenreachException why) {
        held.increment();
        if (!holding) {
            holding = true;
            EVENTS.warn(
                    "start-held", "run", run, "zone", zone, "code", why.code().number(), "error", why.getMessage());
        }
    }

    /** Records that a start was given up. */
    public synchronized void noteRefused(TaskRun run, String zone) {
        holding = false;
        refused.increment();
        EVENTS.info("start-refused", "run", run, "zone", zone, "reason", "evacuated");
    }

    /** Records that a start was allowed. */
    public synchronized void noteAllowed() {
        holding = false;
    }

    /** Returns the failure of a start whose reading has become too old. */
    public PollenreachException tooOld(Reading reading) {
        return new PollenreachException(
                ResultCode.PLATFORM_UNAVAILABLE,
                "the reading of zone " + reading.zone() + " was sent "
                        + reading.sent().ageMs(clock) + " ms ago; the limit is " + maxAgeMs + " ms");
    }
}
