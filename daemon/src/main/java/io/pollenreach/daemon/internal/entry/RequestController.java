package io.pollenreach.daemon.internal.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.Workspace;
import io.pollenreach.daemon.internal.entry.ServiceQueue.Dispatch;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.internal.claims.Admission;
import io.pollenreach.internal.routing.RetryBudget;
import io.pollenreach.internal.routing.RoutePreview;
import io.pollenreach.internal.routing.Router;
import io.pollenreach.internal.routing.RunnerView;
import io.pollenreach.internal.routing.ServiceTimeEstimator;
import io.pollenreach.internal.wire.TargetInfo;
import io.pollenreach.internal.wire.TargetKind;

/**
 * Accepts callers' requests, queues them by workspace and sends them to runners.
 *
 * <p>Invariants: each accepted request is completed exactly once, by its deadline; a request is sent only after the
 * request table has counted it as started; a copy of a request that is still pending at this entry gets the same
 * response. Safe for use by many threads.
 */
final class RequestController {
    /** The longest deadline that a caller may set, in milliseconds. */
    static final long MAX_DEADLINE_MS = 60_000;

    private static final long DEADLINE_MARGIN_MS = 50;
    private static final double DEFAULT_SERVICE_TIME_MS = 200;

    private static final Events EVENTS = Events.of(RequestController.class);

    private final Blackboard board;
    private final TombstoneReplicator tombstoneReplicator;
    private final Sender idempotent;
    private final Sender claimed;
    private final Router router;
    private final String zone;
    private final Clock clock;
    private final ScheduledExecutorService timer;
    private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator(DEFAULT_SERVICE_TIME_MS);
    private final Hedging hedging;
    private final AtomicBoolean dispatchScheduled = new AtomicBoolean();
    private final Map<String, PendingRequest> pendingRequests = new ConcurrentHashMap<>();
    private final Map<String, ServiceQueue> queues = new ConcurrentHashMap<>();

    /** Sends a request that has been admitted to a runner. */
    interface Sender {
        /**
         * Sends the request.
         *
         * @return the whole response; empty when no runner has received any byte of the request, or when the request
         *     may run again, so that it may be sent to another runner; otherwise fails with the code for the caller
         */
        CompletableFuture<Optional<RunnerResponse>> send(PendingRequest pending, RunnerView runner);
    }

    RequestController(
            Blackboard board,
            TombstoneReplicator tombstoneReplicator,
            Sender idempotent,
            Sender claimed,
            Router router,
            RetryBudget budget,
            String zone,
            Clock clock,
            ScheduledExecutorService timer) {
        this.board = board;
        this.tombstoneReplicator = tombstoneReplicator;
        this.idempotent = idempotent;
        this.claimed = claimed;
        this.router = router;
        this.zone = zone;
        this.clock = clock;
        this.timer = timer;
        this.hedging = new Hedging(board, serviceTimes, budget, clock, timer);
    }

    /** Accepts a request; the future completes with the runner's whole response or fails with a result code. */
    CompletableFuture<RunnerResponse> handle(CallerRequest request) {
        PendingRequest pending = new PendingRequest(request, clock.nowMs());
        PendingRequest earlier = pendingRequests.putIfAbsent(request.key(), pending);
        if (earlier != null) {
            return join(earlier, pending);
        }
        enqueue(pending);
        return pending.response();
    }

    private static CompletableFuture<RunnerResponse> join(PendingRequest earlier, PendingRequest copy) {
        if (earlier.digest().equals(copy.digest())) {
            return earlier.response();
        }
        return CompletableFuture.failedFuture(new PollenreachException(
                ResultCode.REQUEST_MISMATCH, "Request-Id", "a different request with this id is still pending"));
    }

    private void enqueue(PendingRequest p) {
        CallerRequest r = p.request();
        Optional<Workspace> workspace = board.config().get().workspace(r.workspace());
        if (workspace.isEmpty()) {
            fail(p, new PollenreachException(ResultCode.NOT_FOUND, "workspace", "no workspace " + r.workspace()));
            return;
        }
        Workspace w = workspace.get();
        double expected = serviceTimes.expectedMs(r.workspace(), r.path());
        if (!queue(r.service()).offer(p, w.share(), w.maxWaitingRequests(), expected)) {
            fail(p, new PollenreachException(ResultCode.OVERLOADED, "limit " + w.maxWaitingRequests()));
            return;
        }
        long remainingMs = Math.max(0, r.deadlineAtMs() - clock.nowMs() - DEADLINE_MARGIN_MS);
        p.cancelWhenAnswered(timer.schedule(() -> expire(p), remainingMs, TimeUnit.MILLISECONDS));
        dispatchWaiting(r.service());
    }

    private ServiceQueue queue(String service) {
        return queues.computeIfAbsent(service, s -> new ServiceQueue(zone, router, clock));
    }

    /** Schedules one dispatch of the waiting requests; calls before it runs share that dispatch. */
    void scheduleDispatch() {
        if (waitingCount() > 0 && dispatchScheduled.compareAndSet(false, true)) {
            timer.execute(() -> {
                dispatchScheduled.set(false);
                dispatchWaiting();
            });
        }
    }

    /** Sends the waiting requests to runners that have free capacity. */
    void dispatchWaiting() {
        queues.keySet().forEach(this::dispatchWaiting);
    }

    private void dispatchWaiting(String service) {
        ServiceQueue queue = queue(service);
        int entries = board.entries().live(clock.nowMs()).size();
        Optional<Dispatch> next = queue.next(() -> runners(service), entries);
        while (next.isPresent()) {
            dispatch(queue, next.get());
            next = queue.next(() -> runners(service), entries);
        }
    }

    private List<ServiceQueue.Report> runners(String service) {
        Set<String> draining = board.config().get().draining();
        return board.targets().usable(clock.nowMs()).stream()
                .filter(t -> t.kind() == TargetKind.RUNNER && t.service().equals(service))
                .map(t -> new ServiceQueue.Report(toView(t, !draining.contains(t.id())), t.sequence()))
                .toList();
    }

    private static RunnerView toView(TargetInfo t, boolean usable) {
        return new RunnerView(
                t.id(),
                t.zone(),
                t.address(),
                t.slots(),
                t.load().inUse(),
                t.load().queued(),
                0,
                t.load().meanServiceMs(),
                t.load().recentFailures(),
                usable);
    }

    private void dispatch(ServiceQueue queue, Dispatch d) {
        PendingRequest p = d.pending();
        if (p.response().isDone()) {
            queue.returned(d.runner().id());
            return;
        }
        if (!p.started() && !admit(p)) {
            queue.returned(d.runner().id());
            return;
        }
        long sentAtMs = clock.nowMs();
        if (!p.beginSend(d.runner().id())) {
            // Closed after admission, so no other path marks the request as finished in the request table.
            board.requests().finish(p.request().key());
            queue.returned(d.runner().id());
            return;
        }
        EVENTS.info(
                "route",
                "request",
                p.request().key(),
                "runner",
                d.runner().id(),
                "send",
                p.sends(),
                "waitedMs",
                sentAtMs - p.arrivedMs(),
                "reason",
                d.reason());
        Sender sender = p.request().idempotent() ? idempotent : claimed;
        hedging.watch(p, d.runner().id(), () -> enqueueCopy(queue, p));
        sender.send(p, d.runner()).whenComplete((response, t) -> {
            queue.returned(d.runner().id());
            boolean noneInFlight = p.endSend();
            if (t == null && response.isPresent()) {
                serviceTimes.record(p.request().workspace(), p.request().path(), clock.nowMs() - sentAtMs);
                succeed(p, response.get());
            } else if (noneInFlight) {
                retryOrFail(queue, p, t);
            }
            dispatchWaiting(p.request().service());
        });
    }

    private void retryOrFail(ServiceQueue queue, PendingRequest p, Throwable t) {
        if (t != null) {
            fail(p, PollenreachException.of(t));
            return;
        }
        requeueOrGiveUp(queue, p);
    }

    private void enqueueCopy(ServiceQueue queue, PendingRequest p) {
        board.config()
                .get()
                .workspace(p.request().workspace())
                .ifPresent(w -> queue.offer(p, w.share(), Integer.MAX_VALUE, 0));
        dispatchWaiting(p.request().service());
    }

    private boolean admit(PendingRequest p) {
        Admission admission = board.requests().admit(p.request().key());
        if (admission == Admission.STARTED) {
            p.markStarted();
            return true;
        }
        fail(p, new PollenreachException(codeOf(admission), "admission " + admission));
        return false;
    }

    private static ResultCode codeOf(Admission admission) {
        switch (admission) {
            case TOMBSTONED:
                return ResultCode.NOT_RUN;
            case ALREADY_STARTED:
                return ResultCode.IN_PROGRESS;
            default:
                return ResultCode.NOT_ADMITTED;
        }
    }

    private void requeueOrGiveUp(ServiceQueue queue, PendingRequest p) {
        CallerRequest r = p.request();
        Workspace w = board.config().get().workspace(r.workspace()).orElse(null);
        boolean inTime = !p.retriesForbidden() && clock.nowMs() < r.deadlineAtMs() - DEADLINE_MARGIN_MS;
        boolean queued = inTime && w != null && queue.offer(p, w.share(), Integer.MAX_VALUE, 0);
        if (!queued) {
            giveUp(p, "no runner accepted the request before its deadline");
        }
    }

    private void expire(PendingRequest p) {
        if (p.response().isDone()) {
            return;
        }
        queue(p.request().service()).remove(p);
        giveUp(p, "the deadline passed before a runner responded");
    }

    private void giveUp(PendingRequest p, String reason) {
        if (!p.close()) {
            ResultCode code = p.request().idempotent() ? ResultCode.DEADLINE_PASSED : ResultCode.OUTCOME_UNKNOWN;
            fail(p, new PollenreachException(code, reason));
            return;
        }
        CompletableFuture<RunnerResponse> refusal = p.started()
                ? tombstoneReplicator.retract(p.request(), reason)
                : tombstoneReplicator.refuse(p.request(), reason);
        refusal.whenComplete((a, t) -> fail(p, PollenreachException.of(t)));
    }

    private void succeed(PendingRequest p, RunnerResponse response) {
        removePending(p);
        p.response().complete(response);
    }

    private void fail(PendingRequest p, PollenreachException e) {
        removePending(p);
        if (p.response().completeExceptionally(e)) {
            EVENTS.info(
                    "request-refused",
                    "request",
                    p.request().key(),
                    "code",
                    e.code().number(),
                    "sends",
                    p.sends(),
                    "detail",
                    e.getMessage());
        }
    }

    private void removePending(PendingRequest p) {
        if (pendingRequests.remove(p.request().key(), p) && p.started()) {
            board.requests().finish(p.request().key());
        }
    }

    /**
     * Tells what would happen to a request that came now, without accepting one.
     *
     * @param path the path at the runner, by which the service time is expected
     * @return fails with {@code NOT_FOUND} when there is no such workspace
     */
    RoutePreview preview(String workspace, String service, String path) {
        Workspace w = board.config()
                .get()
                .workspace(workspace)
                .orElseThrow(
                        () -> new PollenreachException(ResultCode.NOT_FOUND, "workspace", "no workspace " + workspace));
        long nowMs = clock.nowMs();
        CallerRequest r = new CallerRequest(workspace, service, "", true, "POST", path, "", new byte[0], nowMs);
        ServiceQueue queue =
                Optional.ofNullable(queues.get(service)).orElseGet(() -> new ServiceQueue(zone, router, clock));
        return queue.preview(
                new PendingRequest(r, nowMs),
                w.share(),
                w.maxWaitingRequests(),
                serviceTimes.expectedMs(workspace, path),
                runners(service),
                board.entries().live(nowMs).size());
    }

    /** Returns how many requests of this entry have no response yet, sent or waiting. */
    int pendingCount() {
        return pendingRequests.size();
    }

    /** Returns how many requests wait for a runner. */
    int waitingCount() {
        return queues.values().stream().mapToInt(ServiceQueue::waiting).sum();
    }
}
