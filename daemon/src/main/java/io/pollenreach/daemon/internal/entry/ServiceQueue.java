package io.pollenreach.daemon.internal.entry;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import io.pollenreach.Clock;
import io.pollenreach.internal.routing.FairQueue;
import io.pollenreach.internal.routing.InFlightRequests;
import io.pollenreach.internal.routing.Route;
import io.pollenreach.internal.routing.Router;
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
    private final InFlightRequests inFlight = new InFlightRequests();
    private long seed;

    ServiceQueue(String zone, Router router, Clock clock) {
        this.zone = zone;
        this.router = router;
        this.queue = new FairQueue<>(clock);
    }

    /**
     * A request with the runner that it goes to.
     *
     * @param pending the request
     * @param runner the runner
     * @param reason text for the log
     */
    record Dispatch(PendingRequest pending, RunnerView runner, String reason) {}

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
        List<RunnerView> views = runners.get().stream()
                .map(r -> inFlight.update(r.view(), r.sequence(), entries))
                .toList();
        if (router.route(zone, views, Set.of(), seed).runner().isEmpty()) {
            return Optional.empty();
        }
        return queue.poll().map(p -> dispatch(p, views));
    }

    private Dispatch dispatch(PendingRequest p, List<RunnerView> views) {
        Route fresh = router.route(zone, views, p.triedRunners(), seed);
        // A request that every usable runner has been sent goes to one of them again instead of being left unsent.
        Route route = fresh.runner().isPresent() ? fresh : router.route(zone, views, Set.of(), seed);
        RunnerView r = route.runner().orElseThrow();
        inFlight.sent(r.id());
        return new Dispatch(p, r, route.reason());
    }

    /** Records that a request is no longer in flight at a runner. */
    synchronized void returned(String runner) {
        inFlight.returned(runner);
    }
}
