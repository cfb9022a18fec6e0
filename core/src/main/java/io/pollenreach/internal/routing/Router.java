package io.pollenreach.internal.routing;

import java.util.List;
import java.util.Set;

/**
 * Chooses the runner for a request.
 *
 * <p>Implementations are pure: the same arguments give the same route. So they are safe for use by many threads.
 */
@FunctionalInterface
public interface Router {
    /**
     * Chooses a runner.
     *
     * @param zone the zone of the entry that asks
     * @param runners all runners of the service
     * @param tried ids of runners that this request was already sent to
     * @param seed settles ties
     */
    Route route(String zone, List<RunnerView> runners, Set<String> tried, long seed);
}
