package io.pollenreach.daemon.internal.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;

import io.pollenreach.PollenreachException;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.internal.batch.SchedulerState;
import io.pollenreach.internal.batch.WorkerReport;

/**
 * Finds lost workers: those on which no run can still be active.
 *
 * <p>Invariant: a worker is lost only when every lease that its agent can have granted has expired, or when the
 * registry no longer lists its process. Not thread-safe: confined to the scheduler's thread.
 */
final class LostWorkerDetector {
    /** Factor by which a worker's clock may run slow, as stated by the platform. */
    private static final double CLOCK_DRIFT = 1.02;

    /**
     * Added to the lease before an unresponsive worker counts as lost, in milliseconds, because timers may fire late.
     */
    private static final long LOST_SLACK_MS = 200;

    /**
     * Grace period in which workers may report again after an outage of the store, in milliseconds; required by
     * users.
     */
    private static final long RETURN_MS = 2_000;

    /**
     * Time without a report after which the registry is queried about a worker with runs, in milliseconds: two missed
     * reports.
     */
    private static final long SUSPECT_MS = 1_700;

    /**
     * Shortest interval between two such queries, in milliseconds; the platform accepts a few dozen per second from
     * all callers.
     */
    private static final long REGISTRY_PAUSE_MS = 500;

    private static final Events EVENTS = Events.of(LostWorkerDetector.class);

    /** A lost worker's last report, and the reason why the worker counts as lost. Immutable. */
    record Loss(WorkerReport report, String why) {}

    /** Unresponsive workers, and the registry's pending response about them. Immutable. */
    private record Question(List<WorkerReport> suspects, CompletableFuture<Set<String>> existing) {}

    private final SchedulerState book;
    private final WorkerRegistry registry;
    private final long lostAfterMs;
    private long askedMs;
    /** The query in flight; null for none. */
    private Question question;

    LostWorkerDetector(SchedulerState book, WorkerRegistry registry, long leaseMs) {
        this.book = book;
        this.registry = registry;
        lostAfterMs = Math.round(leaseMs * CLOCK_DRIFT) + LOST_SLACK_MS;
    }

    /**
     * Returns the workers that are lost.
     *
     * @param heardFor tells whether the store has responded without a break for a time, in milliseconds
     */
    List<Loss> find(LongPredicate heardFor, long nowMs) {
        List<Loss> found = new ArrayList<>();
        if (heardFor.test(RETURN_MS)) {
            book.unresponsiveFor(lostAfterMs, nowMs).forEach(r -> found.add(new Loss(r, "silent")));
        }
        if (question != null && question.existing().isDone()) {
            unregistered(nowMs).stream()
                    .filter(u -> found.stream().noneMatch(f -> f.report().equals(u.report())))
                    .toList()
                    .forEach(found::add);
            question = null;
        }
        if (question == null && heardFor.test(SUSPECT_MS) && nowMs - askedMs >= REGISTRY_PAUSE_MS) {
            ask(nowMs);
        }
        return found;
    }

    private void ask(long nowMs) {
        List<WorkerReport> suspects = book.unresponsiveFor(SUSPECT_MS, nowMs).stream()
                .filter(r -> book.holdsRuns(r.agent()))
                .toList();
        if (!suspects.isEmpty()) {
            askedMs = nowMs;
            question = new Question(suspects, registry.existing());
        }
    }

    private List<Loss> unregistered(long nowMs) {
        Set<String> existing;
        try {
            existing = question.existing().join();
        } catch (RuntimeException e) {
            PollenreachException failure = PollenreachException.of(e);
            EVENTS.warn("registry-silent", "code", failure.code().number(), "error", failure.getMessage());
            return List.of();
        }
        if (!book.knowsAny(existing)) {
            EVENTS.warn(
                    "registry-distrusted",
                    "named",
                    existing.size(),
                    "suspects",
                    question.suspects().size());
            return List.of();
        }
        // A worker may have reported again since the query was sent.
        List<WorkerReport> silent = book.unresponsiveFor(SUSPECT_MS, nowMs);
        return question.suspects().stream()
                .filter(s -> silent.contains(s) && !existing.contains(s.instance()))
                .map(s -> new Loss(s, "unregistered"))
                .toList();
    }
}
