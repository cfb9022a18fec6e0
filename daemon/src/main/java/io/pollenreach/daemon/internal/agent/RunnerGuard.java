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
 * The authority on a runner's slots: admits requests, passes them on and remembers what became of them.
 *
 * <p>Invariants: at most {@code slots} requests are at the runner; a request that is known is never started a second
 * time unless it is idempotent and did not end well, and one of an incarnation that is no longer remembered is not
 * started at all; {@code REFUSED} is answered only when the runner saw no byte of the
 * request, and then every later copy within {@link AnswerStore#RETENTION_MS} is refused too. Safe for use by many
 * threads: one lock guards all state; no call is made and no future completed under it.
 */
final class RunnerGuard {
    /** How long a request may occupy a slot, in milliseconds; its caller may have gone long before. */
    static final long RUN_LIMIT_MS = 600_000;

    private static final Events EVENTS = Events.of(RunnerGuard.class);
    private static final double SMOOTHING = 0.2;
    private static final int SERVER_ERROR = 500;

    private final AgentSettings settings;
    private final RunnerCalls calls;
    private final Clock clock;
    private final FailureWindow failures;
    private final AnswerStore answers;
    private final Map<RequestKey, Running> running = new HashMap<>();
    private final Deque<Running> queue = new ArrayDeque<>();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private int inUse;
    private boolean draining;
    private double meanServiceMs;

    private static final class Running {
        private final RequestKey key;
        private final Execute request;
        private final long deadlineMs;
        private final CompletableFuture<Message> future = new CompletableFuture<>();
        private long startedMs;

        private Running(RequestKey key, Execute request, long deadlineMs) {
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

    /** Serves a request, or answers what has become of it already. */
    CompletableFuture<Message> execute(Execute e) {
        RequestKey key = new RequestKey(e.workspace(), e.requestId());
        Running request;
        boolean start;
        synchronized (this) {
            Running known = running.get(key);
            if (known != null) {
                return known.future;
            }
            Optional<Executed> answer = answers.get(key).filter(a -> isFinal(e, a));
            if (answer.isPresent()) {
                return CompletableFuture.completedFuture(answer.get());
            }
            if (!answers.remembers(e.targetIncarnation())) {
                return CompletableFuture.completedFuture(forgotten(key, e.targetIncarnation()));
            }
            Optional<String> refusal = refusal();
            if (refusal.isPresent()) {
                return CompletableFuture.completedFuture(refuse(key, e.idempotent(), refusal.get()));
            }
            request = new Running(key, e, clock.nowMs() + e.deadlineMs());
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

    private static Executed forgotten(RequestKey key, long incarnation) {
        return without(key, Outcome.UNKNOWN, "requests of incarnation " + incarnation + " are no longer known");
    }

    private static boolean isFinal(Execute e, Executed answer) {
        if (!e.idempotent() || answer.outcome() == Outcome.REFUSED) {
            return true;
        }
        return answer.outcome() == Outcome.ANSWERED && answer.status() < SERVER_ERROR;
    }

    private Optional<String> refusal() {
        if (draining) {
            return Optional.of("the runner is draining");
        }
        if (inUse + queue.size() >= Math.max(settings.slots(), settings.connections())) {
            return Optional.of("no slot is free and the queue is full");
        }
        return Optional.empty();
    }

    private Executed refuse(RequestKey key, boolean idempotent, String why) {
        EVENTS.info("request-refused", "workspace", key.workspace(), "request", key.id(), "why", why);
        Executed refused = without(key, Outcome.REFUSED, why);
        answers.put(key, idempotent, refused);
        return refused;
    }

    private static Executed without(RequestKey key, Outcome outcome, String detail) {
        return new Executed(key.id(), key.workspace(), outcome, 0, "", AnswerStore.NO_BODY, detail);
    }

    private void start(Running request) {
        Execute e = request.request;
        request.startedMs = clock.nowMs();
        Map<String, String> headers = new HashMap<>();
        headers.put("X-Request-Id", e.requestId());
        headers.put("X-Workspace", e.workspace());
        if (e.contentType() != null && !e.contentType().isEmpty()) {
            headers.put("Content-Type", e.contentType());
        }
        CompletableFuture<HttpClientResponse> reply;
        try {
            URI uri = uri(e.path());
            byte[] body = e.body() == null ? AnswerStore.NO_BODY : e.body();
            reply = calls.call(e.method(), uri, headers, body, RUN_LIMIT_MS);
        } catch (IllegalArgumentException bad) {
            PollenreachException refused =
                    new PollenreachException(ResultCode.PEER_UNREACHABLE, "bad path: " + bad.getMessage());
            reply = CompletableFuture.failedFuture(refused);
        }
        reply.whenComplete((r, t) -> finish(request, t == null ? answered(request, r) : failed(request, t)));
    }

    private URI uri(String path) {
        if (!path.startsWith("/")) {
            throw new IllegalArgumentException("it must start with a slash");
        }
        return URI.create(settings.targetUri() + path);
    }

    private static Executed answered(Running request, HttpClientResponse r) {
        Execute e = request.request;
        if (!e.requestId().equals(r.requestId())) {
            String detail = ResultCode.ANSWER_CUT + ": the answer names request '" + r.requestId() + "'";
            return without(request.key, Outcome.UNKNOWN, detail);
        }
        return new Executed(e.requestId(), e.workspace(), Outcome.ANSWERED, r.status(), r.contentType(), r.body(), "");
    }

    private static Executed failed(Running request, Throwable t) {
        PollenreachException e = PollenreachException.of(t);
        Outcome outcome = e.code() == ResultCode.PEER_UNREACHABLE ? Outcome.REFUSED : Outcome.UNKNOWN;
        return without(request.key, outcome, e.getMessage());
    }

    private void finish(Running request, Executed answer) {
        boolean bad = answer.outcome() != Outcome.ANSWERED || answer.status() >= SERVER_ERROR;
        if (bad) {
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
            if (!bad) {
                long tookMs = clock.nowMs() - request.startedMs;
                meanServiceMs = meanServiceMs == 0 ? tookMs : meanServiceMs + SMOOTHING * (tookMs - meanServiceMs);
            }
        }
        request.future.complete(answer);
        tick();
    }

    /** Refuses queued requests whose deadline has passed, starts the next ones and notices the end of a drain. */
    void tick() {
        List<Running> late = new ArrayList<>();
        List<Executed> refused = new ArrayList<>();
        List<Running> next = new ArrayList<>();
        synchronized (this) {
            long nowMs = clock.nowMs();
            for (Running r : queue) {
                if (nowMs >= r.deadlineMs) {
                    late.add(r);
                }
            }
            queue.removeAll(late);
            for (Running r : late) {
                running.remove(r.key);
                refused.add(refuse(r.key, r.request.idempotent(), "its deadline passed in the queue"));
            }
            while (inUse < settings.slots() && !queue.isEmpty()) {
                inUse++;
                next.add(queue.removeFirst());
            }
        }
        for (int i = 0; i < late.size(); i++) {
            late.get(i).future.complete(refused.get(i));
        }
        next.forEach(this::start);
        if (idleAfterDrain()) {
            drained.complete(null);
        }
    }

    private synchronized boolean idleAfterDrain() {
        return draining && running.isEmpty();
    }

    /**
     * Tells what became of a request.
     *
     * <p>{@code NEVER_SEEN} promises nothing about copies that are still on their way; they run once.
     */
    synchronized CompletableFuture<Message> queryOutcome(OutcomeQuery i) {
        RequestKey key = new RequestKey(i.workspace(), i.requestId());
        if (running.containsKey(key)) {
            return CompletableFuture.completedFuture(without(key, Outcome.RUNNING, ""));
        }
        Optional<Executed> answer = answers.get(key);
        if (answer.isPresent()) {
            return CompletableFuture.completedFuture(answer.get());
        }
        if (!answers.remembers(i.targetIncarnation())) {
            return CompletableFuture.completedFuture(forgotten(key, i.targetIncarnation()));
        }
        String detail = "incarnation=" + answers.incarnation();
        return CompletableFuture.completedFuture(without(key, Outcome.NEVER_SEEN, detail));
    }

    /** Refuses new requests from now on; completes when those in flight, queued ones included, are answered. */
    CompletableFuture<Void> drain() {
        synchronized (this) {
            draining = true;
        }
        tick();
        return drained;
    }

    /** Returns the incarnation to announce; it grows whenever older requests are forgotten. */
    synchronized long incarnation() {
        return answers.incarnation();
    }

    synchronized Load load() {
        return new Load(inUse, queue.size(), meanServiceMs, failures.count());
    }
}
