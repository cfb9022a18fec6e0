package io.pollenreach.daemon.internal.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import io.pollenreach.Clock;
import io.pollenreach.internal.routing.FairQueue;
import io.pollenreach.internal.routing.InFlightRequests;
import io.pollenreach.internal.routing.Route;
import io.pollenreach.internal.routing.RoutePreview;
import io.pollenreach.internal.routing.Router;
import io.pollenreach.internal.routing.RunnerVerdict;
import io.pollenreach.internal.routing.RunnerView;

/**
 * The requests that wait for one service, and how many are in flight at each of its runners.
 *
 * <p>Invariant: a request leaves the queue only together with a runner that had free capacity. Safe for use by many
 * threads; its lock is taken before those of the target table and the configuration, and no call leaves the process
 * while it is held.
 */
final class ServiceQueue {
    private final String zone;
    private final Router router;
    private final FairQueue<PendingRequest> queue;
    private final InFlightRequests inFlight;
    private long seed;

    ServiceQueue(String zone, Router router, Clock clock) {
        this(zone, router, new FairQueue<>(clock), new InFlightRequests(), 0);
    }

    private ServiceQueue(
            String zone, Router router, FairQueue<PendingRequest> queue, InFlightRequests inFlight, long seed) {
        this.zone = zone;
        this.router = router;
        this.queue = queue;
        this.inFlight = inFlight;
        this.seed = seed;
    }

    /**
     * A request with the runner that it goes to.
     *
     * @param pending the request
     * @param runner the runner
     * @param reason text for the log
     * @param runners all runners, as they were before the request was sent
     */
    record Dispatch(PendingRequest pending, RunnerView runner, String reason, List<RunnerView> runners) {}

    /**
     * A runner as it last reported itself.
     *
     * @param view the runner
     * @param sequence a number that differs between one report and the next
     */
    record Report(RunnerView view, long sequence) {}

    synchronized boolean offer(PendingRequest pending, int share, int maxWaiting, double expectedMs) {
        return queue.offer(pending.request().workspace(), share, maxWaiting, expectedMs, pending);
    }

    synchronized boolean remove(PendingRequest pending) {
        return queue.remove(pending);
    }

    synchronized int waiting() {
        return queue.size();
    }

    /**
     * Removes the next request from the queue when a runner has free capacity for it.
     *
     * @param runners gives the service's runners
     * @param entries how many entries share them
     */
    synchronized Optional<Dispatch> next(Supplier<List<Report>> runners, int entries) {
        if (queue.size() == 0) {
            return Optional.empty();
        }
        seed++;
        List<RunnerView> views = views(runners.get(), entries);
        if (router.route(zone, views, Set.of(), seed).runner().isEmpty()) {
            return Optional.empty();
        }
        return queue.poll().map(p -> dispatch(p, views));
    }

    private List<RunnerView> views(List<Report> runners, int entries) {
        return runners.stream()
                .map(r -> inFlight.update(r.view(), r.sequence(), entries))
                .toList();
    }

    private Dispatch dispatch(PendingRequest p, List<RunnerView> views) {
        Route fresh = router.route(zone, views, p.triedRunners(), seed);
        // A request that every usable runner has been sent goes to one of them again instead of being left unsent.
        Route route = fresh.runner().isPresent() ? fresh : router.route(zone, views, Set.of(), seed);
        RunnerView r = route.runner().orElseThrow();
        inFlight.sent(r.id());
        return new Dispatch(p, r, route.reason(), views);
    }

    /** Records that a request is no longer in flight at a runner. */
    synchronized void returned(String runner) {
        inFlight.returned(runner);
    }

    /**
     * Tells what would happen to a request that came now. All is tried on a copy, so that this queue does not change.
     *
     * @param pending the request; it is not kept
     * @param runners the service's runners
     * @param entries how many entries share them
     */
    RoutePreview preview(
            PendingRequest pending, int share, int maxWaiting, double expectedMs, List<Report> runners, int entries) {
        return copy().tryOut(pending, share, maxWaiting, expectedMs, runners, entries);
    }

    private synchronized ServiceQueue copy() {
        return new ServiceQueue(zone, router, queue.copy(), inFlight.copy(), seed);
    }

    private RoutePreview tryOut(
            PendingRequest pending, int share, int maxWaiting, double expectedMs, List<Report> runners, int entries) {
        if (!offer(pending, share, maxWaiting, expectedMs)) {
            return RoutePreview.refused("limit " + maxWaiting, explained(views(runners, entries)));
        }
        Optional<Dispatch> next = next(() -> runners, entries);
        while (next.isPresent() && next.get().pending() != pending) {
            next = next(() -> runners, entries);
        }
        if (next.isPresent()) {
            Dispatch d = next.get();
            return RoutePreview.sent(d.runner().id(), d.reason(), explained(d.runners()));
        }
        List<RunnerView> views = views(runners, entries);
        String reason = router.route(zone, views, Set.of(), seed).reason();
        List<RoutePreview.Runner> explained = explained(views);
        int ahead = 0;
        int aheadOfOwn = 0;
        for (PendingRequest p = queue.poll().orElseThrow();
                p != pending;
                p = queue.poll().orElseThrow()) {
            ahead++;
            aheadOfOwn += p.request().workspace().equals(pending.request().workspace()) ? 1 : 0;
        }
        return RoutePreview.waiting(ahead, aheadOfOwn, reason, explained);
    }

    private List<RoutePreview.Runner> explained(List<RunnerView> views) {
        Map<String, RunnerVerdict> verdicts = router.verdicts(zone, views, Set.of(), seed);
        return views.stream()
                .map(v -> new RoutePreview.Runner(v, verdicts.get(v.id())))
                .toList();
    }
}
