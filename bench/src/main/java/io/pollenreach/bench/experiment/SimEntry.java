package io.pollenreach.bench.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import io.pollenreach.Workspace;
import io.pollenreach.internal.routing.AdaptiveLimit;
import io.pollenreach.internal.routing.FairQueue;
import io.pollenreach.internal.routing.HedgePolicy;
import io.pollenreach.internal.routing.InFlightRequests;
import io.pollenreach.internal.routing.RetryBudget;
import io.pollenreach.internal.routing.Route;
import io.pollenreach.internal.routing.Router;
import io.pollenreach.internal.routing.RunnerView;
import io.pollenreach.internal.routing.ServiceTimeEstimator;

/**
 * An entry that drives the decision classes of the request path. Not safe for use by many threads.
 *
 * <p>It knows runners only by their last report and by what it has in flight itself.
 */
final class SimEntry {
    private static final double DEFAULT_LENGTH_MS = 100;
    private static final int MAX_COPIES = 4;
    private static final double RETRY_FRACTION = 0.1;
    private static final double RETRY_CAPACITY = 20;

    final String zone;
    private final RequestTrial trial;
    private final RequestOptions options;
    private final Router router;
    private final FairQueue<Request> queue;
    private final ServiceTimeEstimator lengths = new ServiceTimeEstimator(DEFAULT_LENGTH_MS);
    private final RetryBudget budget = new RetryBudget(RETRY_FRACTION, RETRY_CAPACITY);
    private final HedgePolicy hedging = new HedgePolicy();
    private final Map<SimRunner, RunnerRecord> records = new HashMap<>();
    private final InFlightRequests inFlight = new InFlightRequests();
    private long turn;

    SimEntry(String zone, RequestTrial trial, PolicyVersion version) {
        this.zone = zone;
        this.trial = trial;
        this.options = version.requests();
        this.router = version.router(trial.workload().links());
        this.queue = new FairQueue<>(trial.loop(), options.ageing());
        trial.runners().forEach(r -> records.put(r, new RunnerRecord(r)));
    }

    /** Takes in a request from a client. */
    void arrive(Request r) {
        budget.record();
        r.behindLong = trial.longPresent();
        if (!options.queued()) {
            sendAtOnce(r);
            return;
        }
        enqueue(r);
    }

    private void enqueue(Request r) {
        Workspace w = trial.workload().workspace(r.kind.workspace());
        double expected = lengths.expectedMs(w.name(), r.kind.name());
        if (!queue.offer(w.name(), w.share(), w.maxWaitingRequests(), expected, r)) {
            trial.refused(r);
            return;
        }
        dispatch();
    }

    private void sendAtOnce(Request r) {
        Route route = router.route(zone, views(), r.tried, turn++);
        if (route.runner().isEmpty()) {
            trial.refused(r);
            return;
        }
        send(r, trial.runner(route.runner().get().id()));
    }

    private void dispatch() {
        for (Optional<Request> r = queue.peek(); r.isPresent(); r = queue.peek()) {
            if (r.get().done) {
                queue.poll();
                continue;
            }
            if (options.dropHopeless() && hopeless(r.get())) {
                queue.poll();
                trial.refused(r.get());
                continue;
            }
            Route route = router.route(zone, views(), r.get().tried, turn++);
            if (route.runner().isEmpty()) {
                return;
            }
            queue.poll();
            send(r.get(), trial.runner(route.runner().get().id()));
        }
    }

    private boolean hopeless(Request r) {
        double left = r.deadlineAtMs - trial.loop().now();
        return left < lengths.expectedMs(r.kind.workspace(), r.kind.name());
    }

    private List<RunnerView> views() {
        List<RunnerView> views = new ArrayList<>();
        trial.runners().forEach(r -> views.add(records.get(r).view()));
        return views;
    }

    private void send(Request r, SimRunner runner) {
        Attempt a = new Attempt(r, this, runner, trial.loop().now());
        r.tried.add(runner.id);
        r.copies++;
        inFlight.sent(runner.id);
        trial.network().send(zone, runner.zone, () -> trial.deliver(a));
        if (options.hedging() && !r.hedged) {
            OptionalLong delay = hedging.delayMs(
                    lengths,
                    r.kind.workspace(),
                    r.kind.name(),
                    r.kind.idempotent(),
                    Math.round(r.deadlineAtMs - trial.loop().now()));
            delay.ifPresent(ms -> trial.loop().after(ms, () -> hedge(r)));
        }
    }

    private void hedge(Request r) {
        if (r.done || r.hedged || !budget.tryAcquire()) {
            return;
        }
        r.hedged = true;
        Route route = router.route(zone, views(), r.tried, turn++);
        route.runner().ifPresent(v -> send(r, trial.runner(v.id())));
    }

    /** Called by a runner when it has served an attempt; the answer still has to travel. */
    void answered(Attempt a) {
        trial.network().send(a.runner.zone, zone, () -> {
            double took = trial.loop().now() - a.startedMs;
            lengths.record(a.request.kind.workspace(), a.request.kind.name(), took);
            end(a, took, false);
            trial.answered(a);
            dispatch();
        });
    }

    /** Learns that an attempt was refused by its runner and did not run. */
    void turnedAway(Attempt a) {
        end(a, 0, true);
        retry(a.request);
        dispatch();
    }

    /** Learns that the connection broke and that the attempt may have run. */
    void broken(Attempt a) {
        end(a, 0, true);
        records.get(a.runner).failures++;
        if (a.request.kind.idempotent()) {
            retry(a.request);
        } else {
            trial.unknown(a.request);
        }
        dispatch();
    }

    private void retry(Request r) {
        if (r.done) {
            return;
        }
        boolean allowed = r.copies < MAX_COPIES && (!options.queued() || budget.tryAcquire());
        if (!allowed) {
            trial.refused(r);
        } else if (options.queued()) {
            enqueue(r);
        } else {
            sendAtOnce(r);
        }
    }

    private void end(Attempt a, double tookMs, boolean overloaded) {
        RunnerRecord record = records.get(a.runner);
        double expected = lengths.expectedMs(a.request.kind.workspace(), a.request.kind.name());
        record.limit.record(inFlight.at(a.runner.id), tookMs, expected, overloaded);
        inFlight.returned(a.runner.id);
        a.ended = true;
    }

    /** Takes in a runner's report. */
    void report(SimRunner r, int inUse, int queued, double meanServiceMs) {
        records.get(r).report(inUse, queued, meanServiceMs);
        dispatch();
    }

    /** Learns that a runner has been silent for too long. */
    void lost(SimRunner r) {
        records.get(r).usable = false;
    }

    /** What the entry knows of one runner. */
    private final class RunnerRecord {
        private final SimRunner runner;
        private final AdaptiveLimit limit;
        private int inUse;
        private int queued;
        private double meanServiceMs;
        private long reports;
        private int failures;
        private boolean usable = true;

        RunnerRecord(SimRunner runner) {
            int slots = trial.workload().runners().slots();
            this.runner = runner;
            this.limit = new AdaptiveLimit(2, slots, slots);
        }

        void report(int inUse, int queued, double meanServiceMs) {
            this.reports++;
            this.inUse = inUse;
            this.queued = queued;
            this.meanServiceMs = meanServiceMs;
        }

        RunnerView view() {
            int slots = options.adaptiveLimit()
                    ? limit.limit()
                    : trial.workload().runners().slots();
            RunnerView v = new RunnerView(
                    runner.id,
                    runner.zone,
                    "",
                    slots,
                    inUse,
                    queued,
                    inFlight.at(runner.id),
                    meanServiceMs,
                    failures,
                    usable);
            return options.countOthers()
                    ? inFlight.update(
                            v,
                            reports,
                            options.ownPart() ? trial.workload().runners().entries() : slots)
                    : v;
        }
    }
}
