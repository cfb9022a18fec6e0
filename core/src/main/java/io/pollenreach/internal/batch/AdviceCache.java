package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What the advisor of queues said of the workers that may run each step, and what it is to be asked.
 *
 * <p>Invariants: whether a worker may run a step never changes; a ticket is used only while it is surely valid; one question
 * of a step is under way at a time. Not safe for use by many threads: the scheduler's thread owns it.
 */
public final class AdviceCache {
    /** Workers in one question: the platform counts on thirty, and each takes the advisor time. */
    static final int MAX_ASKED = 30;

    /** The share of a ticket's validity for which it is used: an order takes a moment to reach the worker. */
    private static final double USABLE_SHARE = 0.6;

    /** Pause after a question that was not answered, in milliseconds. */
    private static final long RETRY_MS = 300;

    /**
     * A question.
     *
     * <p>Immutable.
     *
     * @param step the step whose tasks wait
     * @param workers the platform's names of the workers that would suit it
     */
    public record Query(StepId step, List<String> workers) {}

    private record Ticket(String text, long untilMs) {}

    private static final class Advice {
        private final Set<String> refused = new HashSet<>();
        private final Map<String, Ticket> tickets = new HashMap<>();
        private boolean asking;
        private long notBeforeMs;
    }

    private final Map<StepId, Advice> steps = new HashMap<>();
    private final Map<StepId, Query> wanted = new HashMap<>();

    /** Returns the ticket with which a worker may run a step now. */
    Optional<String> ticket(StepId step, String worker, long nowMs) {
        return Optional.ofNullable(steps.get(step))
                .map(a -> a.tickets.get(worker))
                .filter(t -> nowMs < t.untilMs())
                .map(Ticket::text);
    }

    /** Notes that tasks of a step wait for workers of which nothing is known, or whose tickets have run out. */
    void requestAdvice(StepId step, List<String> workers, long nowMs) {
        Advice advice = steps.computeIfAbsent(step, s -> new Advice());
        List<String> unknown = workers.stream()
                .filter(w ->
                        !advice.refused.contains(w) && ticket(step, w, nowMs).isEmpty())
                .limit(MAX_ASKED)
                .toList();
        if (!advice.asking && nowMs >= advice.notBeforeMs && !unknown.isEmpty()) {
            wanted.put(step, new Query(step, unknown));
        }
    }

    /** Takes the questions that are to be asked now. */
    public List<Query> pollQueries() {
        List<Query> all = new ArrayList<>(wanted.values());
        all.forEach(q -> steps.get(q.step()).asking = true);
        wanted.clear();
        return all;
    }

    /**
     * Takes an answer.
     *
     * @param question what was asked
     * @param ticketByWorker the workers that may run the step, with their tickets
     * @param validMs how long the tickets are valid, in milliseconds
     * @param askedMs when the question was sent
     */
    public void recordAdvice(Query question, Map<String, String> ticketByWorker, long validMs, long askedMs) {
        Advice advice = steps.get(question.step());
        if (advice == null) {
            return;
        }
        advice.asking = false;
        long untilMs = askedMs + Math.round(validMs * USABLE_SHARE);
        for (String w : question.workers()) {
            if (ticketByWorker.containsKey(w)) {
                advice.tickets.put(w, new Ticket(ticketByWorker.get(w), untilMs));
            } else {
                advice.refused.add(w);
            }
        }
    }

    /** Takes the news that a question was not answered. */
    public void recordFailure(Query question, long nowMs) {
        Advice advice = steps.get(question.step());
        if (advice != null) {
            advice.asking = false;
            advice.notBeforeMs = nowMs + RETRY_MS;
        }
    }

    /** Drops a ticket that its worker did not take. */
    void removeTicket(StepId step, String worker) {
        Advice advice = steps.get(step);
        if (advice != null) {
            advice.tickets.remove(worker);
        }
    }

    /** Forgets a job that has ended. */
    void removeJob(String job) {
        steps.keySet().removeIf(s -> s.job().equals(job));
        wanted.keySet().removeIf(s -> s.job().equals(job));
    }
}
