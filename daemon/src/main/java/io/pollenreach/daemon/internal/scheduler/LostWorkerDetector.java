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
 * Finds workers of which nothing can be alive any more.
 *
 * <p>Invariant: a worker is found only when every lease that its agent can have given has run out, or when the registry
 * no longer names its process. Not safe for use by many threads: the scheduler's thread owns it.
 */
final class LostWorkerDetector {
    /** The worker's clock may run this much slow; stated by the platform. */
    private static final double CLOCK_DRIFT = 1.02;

    /** Added to the lease before a silent worker counts as lost, in milliseconds, for the delay of a late timer. */
    private static final long LOST_SLACK_MS = 200;

    /** Workers have this long to report again after the store was away, in milliseconds; asked for by the users. */
    private static final long RETURN_MS = 2_000;

    /** Silence after which the registry is asked of a worker that holds runs, in milliseconds: two reports missed. */
    private static final long SUSPECT_MS = 1_700;

    /** Shortest pause between two such questions, in milliseconds; the platform takes a few dozen a second from all. */
    private static final long REGISTRY_PAUSE_MS = 500;

    private static final Events EVENTS = Events.of(LostWorkerDetector.class);

    /** A worker that is gone, by its last report, and how that is known. Immutable. */
    record Loss(WorkerReport report, String why) {}

    /** Workers that were silent, and what the registry says. Immutable. */
    private record Question(List<WorkerReport> suspects, CompletableFuture<Set<String>> existing) {}

    private final SchedulerState book;
    private final WorkerRegistry registry;
    private final long lostAfterMs;
    private long askedMs;
    /** The question that is under way; null for none. */
    private Question question;

    LostWorkerDetector(SchedulerState book, WorkerRegistry registry, long leaseMs) {
        this.book = book;
        this.registry = registry;
        lostAfterMs = Math.round(leaseMs * CLOCK_DRIFT) + LOST_SLACK_MS;
    }

    /**
     * Returns the workers that are gone.
     *
     * @param heardFor tells whether the store was heard without a break for a time, in milliseconds
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
        // One that has reported meanwhile is not silent any more.
        List<WorkerReport> silent = book.unresponsiveFor(SUSPECT_MS, nowMs);
        return question.suspects().stream()
                .filter(s -> silent.contains(s) && !existing.contains(s.instance()))
                .map(s -> new Loss(s, "unregistered"))
                .toList();
    }
}
