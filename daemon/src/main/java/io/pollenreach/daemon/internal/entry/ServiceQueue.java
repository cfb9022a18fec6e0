package io.pollenreach.daemon.internal.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import io.pollenreach.Clock;
import io.pollenreach.internal.routing.FairQueue;
import io.pollenreach.internal.routing.Route;
import io.pollenreach.internal.routing.Router;
import io.pollenreach.internal.routing.RunnerView;

/**
 * The requests that wait for one service, and how many are in flight at each of its runners.
 *
 * <p>Invariant: a request leaves the queue only together with a runner that had room. Safe for use by many threads; its
 * lock is taken before those of the target table and the configuration, and no call leaves the process while it is held.
 */
final class ServiceQueue {
    private final String zone;
    private final Router router;
    private final FairQueue<Pending> queue;
    private final Map<String, Integer> inFlight = new HashMap<>();
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
    record Dispatch(Pending pending, RunnerView runner, String reason) {}

    synchronized boolean offer(Pending pending, int share, int maxWaiting, double expectedMs) {
        return queue.offer(pending.request().workspace(), share, maxWaiting, expectedMs, pending);
    }

    synchronized boolean remove(Pending pending) {
        return queue.remove(pending);
    }

    synchronized int waiting() {
        return queue.size();
    }

    /** Takes the next request when a runner has room for it. */
    synchronized Optional<Dispatch> next(Supplier<List<RunnerView>> runners) {
        if (queue.size() == 0) {
            return Optional.empty();
        }
        seed++;
        List<RunnerView> views = withInFlight(runners.get());
        if (router.route(zone, views, Set.of(), seed).runner().isEmpty()) {
            return Optional.empty();
        }
        return queue.poll().map(p -> dispatch(p, views));
    }

    private Dispatch dispatch(Pending p, List<RunnerView> views) {
        Route fresh = router.route(zone, views, p.tried(), seed);
        // A request that was tried everywhere goes to a runner once more rather than nowhere.
        Route route = fresh.runner().isPresent() ? fresh : router.route(zone, views, Set.of(), seed);
        RunnerView r = route.runner().orElseThrow();
        inFlight.merge(r.id(), 1, Integer::sum);
        return new Dispatch(p, r, route.reason());
    }

    /** Notes that a request is no longer in flight at a runner. */
    synchronized void returned(String runner) {
        inFlight.computeIfPresent(runner, (k, n) -> n > 1 ? n - 1 : null);
    }

    private List<RunnerView> withInFlight(List<RunnerView> views) {
        return views.stream()
                .map(r -> new RunnerView(
                        r.id(),
                        r.zone(),
                        r.address(),
                        r.slots(),
                        r.inUse(),
                        r.queued(),
                        inFlight.getOrDefault(r.id(), 0),
                        r.meanServiceMs(),
                        r.recentFailures(),
                        r.usable()))
                .toList();
    }
}
