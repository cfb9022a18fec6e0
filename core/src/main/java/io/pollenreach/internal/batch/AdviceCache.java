package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Caches the advisor's answers on which workers may run each step of an advised queue, and decides what to ask next.
 *
 * <p>Answers the load of many steps on an advisor that handles one call at a time: a ticket ages while its query waits for
 * its turn, so the next query is sent when the last one is answered, for the step that placement decides on first, and names
 * the workers that placement would use.
 *
 * <p>Invariants: whether a worker may run a step never changes; a ticket is used only for a part of its validity; at most one
 * query is in flight. Not thread-safe: confined to the scheduler's thread.
 */
public final class AdviceCache {
    /** Workers in one query; the platform takes no more. */
    static final int MAX_QUERY_WORKERS = 100;

    /** Workers in a query beyond which it names none as alternatives, since each adds to the advisor's response time. */
    private static final int MAX_WITH_SPARES = 30;

    /** Length of the longest ticket that orders may carry, in characters. */
    private static final int MAX_TICKET_CHARS = 1_000;

    /**
     * Part of a ticket's validity during which it is used, counted from when the query was sent; the rest is left for the
     * order to reach the worker.
     */
    private static final double USABLE_FRACTION = 0.6;

    /**
     * Part of a ticket's validity during which it is used after the answer, however late that came. The advisor may have made
     * the ticket just before; if not, the worker refuses it and the step is queried again.
     */
    private static final double USABLE_FRACTION_AFTER_ANSWER = 0.3;

    /** Pause after a failed query, in milliseconds; doubles with each further failure of the step. */
    private static final long RETRY_MS = 300;

    private static final long MAX_RETRY_MS = 5_000;

    /** Failures of a step in a row that are told apart. */
    private static final int MAX_COUNTED_FAILURES = 7;

    /** Pause after a failed query before one for another step, in milliseconds. */
    private static final long PAUSE_MS = 100;

    /** How soon advice must be expected for workers to be kept free for it, in milliseconds. */
    private static final long MAX_RESERVED_MS = 1_500;

    /** Expected duration of a query before the first is answered, in milliseconds. */
    private static final double FIRST_EXPECTED_MS = 200;

    /** Weight of the newest duration in the average. */
    private static final double NEWEST_WEIGHT = 0.3;

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

    private record InFlight(Query query, long sentMs) {}

    private static final class Advice {
        private final Set<String> refused = new HashSet<>();
        private final Map<String, Ticket> tickets = new HashMap<>();
        private int failures;
        private long notBeforeMs;
    }

    /** The workers to ask for, in the order in which they were chosen. */
    private static final class Wanted {
        private final Set<String> workers = new LinkedHashSet<>();
        private List<String> spares = List.of();
    }

    private final Map<StepId, Advice> steps = new HashMap<>();
    /** What the newest pass lacked, the most urgent step first. */
    private final Map<StepId, Wanted> wanted = new LinkedHashMap<>();

    private Optional<InFlight> inFlight = Optional.empty();
    private double expectedMs = FIRST_EXPECTED_MS;
    private long notBeforeMs;

    /** Returns the usable ticket of a worker for a step. */
    Optional<String> ticket(StepId step, String worker, long nowMs) {
        return Optional.ofNullable(steps.get(step))
                .map(a -> a.tickets.get(worker))
                .filter(t -> nowMs < t.untilMs())
                .map(Ticket::text);
    }

    /** Tells whether the advisor is known not to let a worker run a step. */
    boolean isRefused(StepId step, String worker) {
        Advice advice = steps.get(step);
        return advice != null && advice.refused.contains(worker);
    }

    /** Begins a pass, which requests anew what it lacks. */
    void beginPass() {
        wanted.clear();
    }

    /**
     * Requests tickets for the workers that some tasks of a step would be placed on; requests that are made first in a pass
     * are sent first.
     *
     * @param workers the workers chosen for the tasks
     * @param alternatives other workers that might take them, the best first; as many are asked for as were refused, and one
     * @return whether a usable ticket is expected so soon that the workers should be kept free for it
     */
    boolean request(StepId step, Collection<String> workers, List<String> alternatives, long nowMs) {
        Advice advice = steps.computeIfAbsent(step, s -> new Advice());
        Wanted w = wanted.computeIfAbsent(step, s -> new Wanted());
        workers.stream()
                .filter(name -> isUnknown(step, advice, name, nowMs))
                .filter(name -> w.workers.size() < MAX_QUERY_WORKERS)
                .forEach(w.workers::add);
        w.spares = alternatives.stream()
                .filter(name -> isUnknown(step, advice, name, nowMs))
                .filter(name -> !w.workers.contains(name))
                .limit(advice.refused.size() + 1)
                .toList();
        return isExpectedSoon(step, advice, nowMs);
    }

    private boolean isUnknown(StepId step, Advice advice, String worker, long nowMs) {
        return !advice.refused.contains(worker) && ticket(step, worker, nowMs).isEmpty();
    }

    private boolean isExpectedSoon(StepId step, Advice advice, long nowMs) {
        long busyMs = inFlight.map(f -> nowMs - f.sentMs()).orElse(0L);
        if (busyMs > MAX_RESERVED_MS || nowMs < advice.notBeforeMs) {
            return false;
        }
        if (inFlight.filter(f -> f.query().step().equals(step)).isPresent()) {
            return true;
        }
        int before = inFlight.isPresent() ? 1 : 0;
        for (StepId other : wanted.keySet()) {
            if (other.equals(step)) {
                break;
            }
            before++;
        }
        return (before + 1) * expectedMs <= MAX_RESERVED_MS;
    }

    /** Returns the next query and marks it as in flight; empty while another is, or after a failure. */
    public Optional<Query> pollQuery(long nowMs) {
        if (inFlight.isPresent() || nowMs < notBeforeMs) {
            return Optional.empty();
        }
        Optional<Query> next = wanted.entrySet().stream()
                .filter(e -> nowMs >= steps.get(e.getKey()).notBeforeMs)
                .map(e -> new Query(e.getKey(), toAsk(e.getValue(), steps.get(e.getKey()).failures)))
                .filter(q -> !q.workers().isEmpty())
                .findFirst();
        inFlight = next.map(q -> new InFlight(q, nowMs));
        return next;
    }

    // A query may have failed because the advisor takes longer for its workers than a response may take.
    private static List<String> toAsk(Wanted w, int failures) {
        List<String> workers = new ArrayList<>(w.workers);
        w.spares.stream().limit(Math.max(0, MAX_WITH_SPARES - workers.size())).forEach(workers::add);
        int limit = Math.max(1, MAX_QUERY_WORKERS >> failures);
        return List.copyOf(workers.subList(0, Math.min(limit, workers.size())));
    }

    /**
     * Records the response to a query; candidate workers without a ticket, or with one that is too long, are refused for
     * good.
     *
     * @param query the query
     * @param ticketByWorker the tickets of the workers that may run the step
     * @param validMs validity of the tickets, in milliseconds
     * @param sentMs when the query was sent
     * @param nowMs when the response arrived
     */
    public void recordAdvice(Query query, Map<String, String> ticketByWorker, long validMs, long sentMs, long nowMs) {
        inFlight = Optional.empty();
        expectedMs += NEWEST_WEIGHT * (nowMs - sentMs - expectedMs);
        Advice advice = steps.get(query.step());
        if (advice == null) {
            return;
        }
        advice.failures = 0;
        long untilMs = Math.max(
                sentMs + Math.round(validMs * USABLE_FRACTION),
                nowMs + Math.round(validMs * USABLE_FRACTION_AFTER_ANSWER));
        for (String w : query.workers()) {
            String ticket = ticketByWorker.get(w);
            if (ticket != null && ticket.length() <= MAX_TICKET_CHARS) {
                advice.tickets.put(w, new Ticket(ticket, untilMs));
            } else {
                advice.refused.add(w);
            }
        }
    }

    /** Records that a query failed, and delays the next ones, those for its step longest. */
    public void recordFailure(Query query, long nowMs) {
        inFlight = Optional.empty();
        notBeforeMs = nowMs + PAUSE_MS;
        Advice advice = steps.get(query.step());
        if (advice != null) {
            advice.notBeforeMs = nowMs + Math.min(MAX_RETRY_MS, RETRY_MS << advice.failures);
            advice.failures = Math.min(advice.failures + 1, MAX_COUNTED_FAILURES);
        }
    }

    /** Removes a ticket that its worker did not accept. */
    void removeTicket(StepId step, String worker) {
        Advice advice = steps.get(step);
        if (advice != null) {
            advice.tickets.remove(worker);
        }
    }

    /** Removes the advice and requests of a job that has ended. */
    void removeJob(String job) {
        steps.keySet().removeIf(s -> s.job().equals(job));
        wanted.keySet().removeIf(s -> s.job().equals(job));
    }
}
