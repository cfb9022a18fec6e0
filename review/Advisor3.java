package third;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** The platform's advisor: handles one call at a time for its only caller, the leading entry, in turn. */
final class Advisor3 {
    private static final int MAX_WAITING = 32;
    private final Log log;
    private final long decisionMs;
    private final long perWorkerMs;
    private final long validityMs;
    private final Semaphore turn = new Semaphore(1, true);
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger given = new AtomicInteger();
    private final Map<String, Long> untilByTicket = new ConcurrentHashMap<>();
    private final int port;

    Advisor3(Log log, long decisionMs, long perWorkerMs, long validityMs) throws Exception {
        this.log = log;
        this.decisionMs = decisionMs;
        this.perWorkerMs = perWorkerMs;
        this.validityMs = validityMs;
        port = Web.serve(0, (x, path, query, body) -> advise(J.object(body))).getAddress().getPort();
    }

    String address() {
        return Web.IP + ":" + port;
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private Web.Answer advise(Map<String, Object> question) throws InterruptedException {
        long askedMs = nowMs();
        if (waiting.incrementAndGet() > MAX_WAITING) {
            waiting.decrementAndGet();
            log.line("advice on %s is refused with 429", question.get("step"));
            return new Web.Answer(429, null);
        }
        List<?> workers = (List<?>) question.get("workers");
        turn.acquire();
        try {
            waiting.decrementAndGet();
            Thread.sleep(decisionMs + perWorkerMs * workers.size());
        } finally {
            turn.release();
        }
        List<Object> approved = new ArrayList<>();
        for (Object w : workers) {
            String ticket = question.get("step") + "@" + w + "#" + given.incrementAndGet();
            untilByTicket.put(ticket, nowMs() + validityMs);
            approved.add(List.of(w, ticket));
        }
        log.line("advice on %s for %d runners after %d ms", question.get("step"), workers.size(), nowMs() - askedMs);
        return new Web.Answer(200, J.map("approved", approved, "validity-ms", validityMs));
    }

    /** Tells whether a ticket lets a runner start a subtask now. */
    boolean allows(String ticket, String task, String runner) {
        String step = task.substring(0, task.lastIndexOf('.'));
        return ticket.startsWith(step + "@" + runner + "#") && nowMs() < untilByTicket.getOrDefault(ticket, 0L);
    }
}
