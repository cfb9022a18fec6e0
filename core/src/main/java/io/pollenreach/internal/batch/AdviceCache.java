package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Caches the advisor's answers on which workers may run each step of an advised queue, and holds the pending queries.
 *
 * <p>Invariants: whether a worker may run a step never changes; a ticket is used only for the first part of its
 * validity; at most one query for a step is in flight. Not thread-safe: confined to the scheduler's thread.
 */
public final class AdviceCache {
    /** Workers in one query: the platform expects thirty, and each adds to the advisor's response time. */
    static final int MAX_QUERY_WORKERS = 30;

    /** Length of the longest ticket that orders may carry, in characters. */
    private static final int MAX_TICKET_CHARS = 1_000;

    /** Part of a ticket's validity during which it is used; the rest is left for the order to reach the worker. */
    private static final double USABLE_FRACTION = 0.6;

    /** Pause after a failed query, in milliseconds. */
    private static final long RETRY_MS = 300;

    /**
     * A query to the advisor.
     *
     * <p>Immutable.
     *
     * @param step the step with waiting tasks
     * @param workers the platform's names of the candidate workers
     */
    public record Query(StepId step, List<String> workers) {}

    private record Ticket(String text, long untilMs) {}

    private static final class Advice {
        private final Set<String> refused = new HashSet<>();
        private final Map<String, Ticket> tickets = new HashMap<>();
        private boolean inFlight;
        private long notBeforeMs;
    }

    private final Map<StepId, Advice> steps = new HashMap<>();
    private final Map<StepId, Query> pending = new HashMap<>();

    /** Returns the usable ticket of a worker for a step. */
    Optional<String> ticket(StepId step, String worker, long nowMs) {
        return Optional.ofNullable(steps.get(step))
                .map(a -> a.tickets.get(worker))
                .filter(t -> nowMs < t.untilMs())
                .map(Ticket::text);
    }

    /** Queues a query for the workers without a usable ticket, unless one is in flight or a retry is not due yet. */
    void requestAdvice(StepId step, List<String> workers, long nowMs) {
        Advice advice = steps.computeIfAbsent(step, s -> new Advice());
        List<String> unknown = workers.stream()
                .filter(w ->
                        !advice.refused.contains(w) && ticket(step, w, nowMs).isEmpty())
                .limit(MAX_QUERY_WORKERS)
                .toList();
        if (!advice.inFlight && nowMs >= advice.notBeforeMs && !unknown.isEmpty()) {
            pending.put(step, new Query(step, unknown));
        }
    }

    /** Removes and returns the pending queries and marks them as in flight. */
    public List<Query> pollQueries() {
        List<Query> all = new ArrayList<>(pending.values());
        all.forEach(q -> steps.get(q.step()).inFlight = true);
        pending.clear();
        return all;
    }

    /**
     * Records the response to a query; candidate workers without a ticket, or with one that is too long, are refused for
     * good.
     *
     * @param query the query
     * @param ticketByWorker the tickets of the workers that may run the step
     * @param validMs validity of the tickets, in milliseconds
     * @param askedMs when the query was sent
     */
    public void recordAdvice(Query query, Map<String, String> ticketByWorker, long validMs, long askedMs) {
        Advice advice = steps.get(query.step());
        if (advice == null) {
            return;
        }
        advice.inFlight = false;
        long untilMs = askedMs + Math.round(validMs * USABLE_FRACTION);
        for (String w : query.workers()) {
            String ticket = ticketByWorker.get(w);
            if (ticket != null && ticket.length() <= MAX_TICKET_CHARS) {
                advice.tickets.put(w, new Ticket(ticket, untilMs));
            } else {
                advice.refused.add(w);
            }
        }
    }

    /** Records that a query failed, and delays the next one for its step. */
    public void recordFailure(Query query, long nowMs) {
        Advice advice = steps.get(query.step());
        if (advice != null) {
            advice.inFlight = false;
            advice.notBeforeMs = nowMs + RETRY_MS;
        }
    }

    /** Removes a ticket that its worker did not accept. */
    void removeTicket(StepId step, String worker) {
        Advice advice = steps.get(step);
        if (advice != null) {
            advice.tickets.remove(worker);
        }
    }

    /** Removes the advice and queries of a job that has ended. */
    void removeJob(String job) {
        steps.keySet().removeIf(s -> s.job().equals(job));
        pending.keySet().removeIf(s -> s.job().equals(job));
    }
}
