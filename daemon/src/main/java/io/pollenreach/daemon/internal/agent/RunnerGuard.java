package io.pollenreach.daemon.internal.agent;

import java.net.URI;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.http.HttpClientResponse;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.settings.AgentSettings;
import io.pollenreach.internal.wire.Execute;
import io.pollenreach.internal.wire.Executed;
import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.Outcome;
import io.pollenreach.internal.wire.OutcomeQuery;

/**
 * Decides which requests use a runner's slots: admits and queues requests, forwards them to the runner and remembers
 * their outcomes.
 *
 * <p>Invariants: at most {@code slots} requests are in progress at the runner; a request whose outcome is known is not
 * started again unless it is idempotent and failed; a request of an incarnation that is no longer remembered is not
 * started at all; the outcome {@code REFUSED} is returned only when the runner received no byte of the request, and
 * then every later copy within {@link AnswerStore#RETENTION_MS} is refused too. Safe for use by many threads: one lock
 * guards all state; no call is made and no future completed under that lock.
 */
final class RunnerGuard {
    /** How long a request may occupy a slot, in milliseconds; the deadline of its caller may be much earlier. */
    static final long RUN_LIMIT_MS = 600_000;

    private static final Events EVENTS = Events.of(RunnerGuard.class);
    /** Weight of the newest service time in the moving average. */
    private static final double SMOOTHING = 0.2;

    private static final int SERVER_ERROR = 500;

    private final AgentSettings settings;
    private final RunnerCalls calls;
    private final Clock clock;
    private final FailureWindow failures;
    private final AnswerStore answers;
    private final Map<RequestKey, PendingRequest> running = new HashMap<>();
    private final Deque<PendingRequest> queue = new ArrayDeque<>();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private int inUse;
    private boolean draining;
    private double meanServiceMs;

    private static final class PendingRequest {
        private final RequestKey key;
        private final Execute request;
        private final long deadlineMs;
        private final CompletableFuture<Message> future = new CompletableFuture<>();
        private long startedMs;

        private PendingRequest(RequestKey key, Execute request, long deadlineMs) {
            this.key = key;
            this.request = request;
            this.deadlineMs = deadlineMs;
        }
    }

    RunnerGuard(AgentSettings settings, RunnerCalls calls, Clock clock, FailureWindow failures) {
        this.settings = settings;
        this.calls = calls;
        this.clock = clock;
        this.failures = failures;
        this.answers = new AnswerStore(clock);
    }

    /** Forwards a request to the runner, or returns its known outcome when it was received before. */
    CompletableFuture<Message> execute(Execute e) {
        RequestKey key = new RequestKey(e.workspace(), e.requestId());
        PendingRequest request;
        boolean start;
        synchronized (this) {
            PendingRequest known = running.get(key);
            if (known != null) {
                return known.future;
            }
            Optional<Executed> answer = answers.get(key).filter(a -> isFinal(e, a));
            if (answer.isPresent()) {
                return CompletableFuture.completedFuture(answer.get());
            }
            if (!answers.remembers(e.targetIncarnation())) {
                return CompletableFuture.completedFuture(forgottenIncarnation(key, e.targetIncarnation()));
            }
            Optional<String> refusalReason = refusalReason();
            if (refusalReason.isPresent()) {
                return CompletableFuture.completedFuture(refuse(key, e.idempotent(), refusalReason.get()));
            }
            request = new PendingRequest(key, e, clock.nowMs() + e.deadlineMs());
            running.put(key, request);
            start = inUse < settings.slots();
            if (start) {
                inUse++;
            } else {
                queue.addLast(request);
            }
        }
        if (start) {
            start(request);
        }
        return request.future;
    }

    private static Executed forgottenIncarnation(RequestKey key, long incarnation) {
        return withoutBody(
                key, Outcome.UNKNOWN, "requests of incarnation " + incarnation + " are no longer remembered");
    }

    private static boolean isFinal(Execute e, Executed answer) {
        if (!e.idempotent() || answer.outcome() == Outcome.REFUSED) {
            return true;
        }
        return answer.outcome() == Outcome.ANSWERED && answer.status() < SERVER_ERROR;
    }

    private Optional<String> refusalReason() {
        if (draining) {
            return Optional.of("the runner is draining");
        }
        if (inUse + queue.size() >= Math.max(settings.slots(), settings.connections())) {
            return Optional.of("no slot is free and the queue is full");
        }
        return Optional.empty();
    }

    private Executed refuse(RequestKey key, boolean idempotent, String reason) {
        EVENTS.info("request-refused", "workspace", key.workspace(), "request", key.id(), "why", reason);
        Executed refused = withoutBody(key, Outcome.REFUSED, reason);
        answers.put(key, idempotent, refused);
        return refused;
    }

    private static Executed withoutBody(RequestKey key, Outcome outcome, String detail) {
        return new Executed(key.id(), key.workspace(), outcome, 0, "", AnswerStore.NO_BODY, detail);
    }

    private void start(PendingRequest request) {
        Execute e = request.request;
        request.startedMs = clock.nowMs();
        Map<String, String> headers = new HashMap<>();
        headers.put("X-Request-Id", e.requestId());
        headers.put("X-Workspace", e.workspace());
        if (e.contentType() != null && !e.contentType().isEmpty()) {
            headers.put("Content-Type", e.contentType());
        }
        CompletableFuture<HttpClientResponse> response;
        try {
            URI uri = uri(e.path());
            byte[] body = e.body() == null ? AnswerStore.NO_BODY : e.body();
            response = calls.call(e.method(), uri, headers, body, RUN_LIMIT_MS);
        } catch (IllegalArgumentException invalid) {
            PollenreachException refused =
                    new PollenreachException(ResultCode.PEER_UNREACHABLE, "invalid path: " + invalid.getMessage());
            response = CompletableFuture.failedFuture(refused);
        }
        response.whenComplete(
                (r, t) -> finish(request, t == null ? outcomeOfResponse(request, r) : outcomeOfFailure(request, t)));
    }

    private URI uri(String path) {
        if (!path.startsWith("/")) {
            throw new IllegalArgumentException("the path must start with a slash");
        }
        return URI.create(settings.targetUri() + path);
    }

    private static Executed outcomeOfResponse(PendingRequest request, HttpClientResponse r) {
        Execute e = request.request;
        if (!e.requestId().equals(r.requestId())) {
            String detail = ResultCode.ANSWER_CUT + ": the response carries the id of request '" + r.requestId() + "'";
            return withoutBody(request.key, Outcome.UNKNOWN, detail);
        }
        return new Executed(e.requestId(), e.workspace(), Outcome.ANSWERED, r.status(), r.contentType(), r.body(), "");
    }

    private static Executed outcomeOfFailure(PendingRequest request, Throwable t) {
        PollenreachException e = PollenreachException.of(t);
        Outcome outcome = e.code() == ResultCode.PEER_UNREACHABLE ? Outcome.REFUSED : Outcome.UNKNOWN;
        return withoutBody(request.key, outcome, e.getMessage());
    }

    private void finish(PendingRequest request, Executed answer) {
        boolean unsuccessful = answer.outcome() != Outcome.ANSWERED || answer.status() >= SERVER_ERROR;
        if (unsuccessful) {
            failures.add();
            EVENTS.warn(
                    "request-failed",
                    "workspace",
                    request.key.workspace(),
                    "request",
                    request.key.id(),
                    "outcome",
                    answer.outcome(),
                    "status",
                    answer.status(),
                    "why",
                    answer.detail());
        }
        synchronized (this) {
            answers.put(request.key, request.request.idempotent(), answer);
            running.remove(request.key);
            inUse--;
            if (!unsuccessful) {
                long serviceMs = clock.nowMs() - request.startedMs;
                meanServiceMs =
                        meanServiceMs == 0 ? serviceMs : meanServiceMs + SMOOTHING * (serviceMs - meanServiceMs);
            }
        }
        request.future.complete(answer);
        tick();
    }

    /** Refuses queued requests whose deadline has passed, starts queued requests and completes a finished drain. */
    void tick() {
        List<PendingRequest> expired = new ArrayList<>();
        List<Executed> refused = new ArrayList<>();
        List<PendingRequest> ready = new ArrayList<>();
        synchronized (this) {
            long nowMs = clock.nowMs();
            for (PendingRequest r : queue) {
                if (nowMs >= r.deadlineMs) {
                    expired.add(r);
                }
            }
            queue.removeAll(expired);
            for (PendingRequest r : expired) {
                running.remove(r.key);
                refused.add(refuse(r.key, r.request.idempotent(), "its deadline passed while it was queued"));
            }
            while (inUse < settings.slots() && !queue.isEmpty()) {
                inUse++;
                ready.add(queue.removeFirst());
            }
        }
        for (int i = 0; i < expired.size(); i++) {
            expired.get(i).future.complete(refused.get(i));
        }
        ready.forEach(this::start);
        if (drainFinished()) {
            drained.complete(null);
        }
    }

    private synchronized boolean drainFinished() {
        return draining && running.isEmpty();
    }

    /**
     * Returns the outcome of a request.
     *
     * <p>After {@code NEVER_SEEN} a copy of the request that is still in transit may arrive; it is started once.
     */
    synchronized CompletableFuture<Message> queryOutcome(OutcomeQuery i) {
        RequestKey key = new RequestKey(i.workspace(), i.requestId());
        if (running.containsKey(key)) {
            return CompletableFuture.completedFuture(withoutBody(key, Outcome.RUNNING, ""));
        }
        Optional<Executed> answer = answers.get(key);
        if (answer.isPresent()) {
            return CompletableFuture.completedFuture(answer.get());
        }
        if (!answers.remembers(i.targetIncarnation())) {
            return CompletableFuture.completedFuture(forgottenIncarnation(key, i.targetIncarnation()));
        }
        String detail = "incarnation=" + answers.incarnation();
        return CompletableFuture.completedFuture(withoutBody(key, Outcome.NEVER_SEEN, detail));
    }

    /** Refuses new requests from now on; completes when all admitted requests, queued or running, have ended. */
    CompletableFuture<Void> drain() {
        synchronized (this) {
            draining = true;
        }
        tick();
        return drained;
    }

    /** Returns the current incarnation, which grows whenever older requests are forgotten. */
    synchronized long incarnation() {
        return answers.incarnation();
    }

    synchronized Load load() {
        return new Load(inUse, queue.size(), meanServiceMs, failures.count());
    }
}
