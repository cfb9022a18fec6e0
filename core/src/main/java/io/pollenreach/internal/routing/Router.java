package io.pollenreach.internal.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

    /**
     * Explains {@link #route} with the same arguments.
     *
     * @return why each runner is chosen or not, by its id
     */
    default Map<String, RunnerVerdict> verdicts(String zone, List<RunnerView> runners, Set<String> tried, long seed) {
        Map<String, RunnerVerdict> verdicts = new HashMap<>();
        for (RunnerView r : runners) {
            verdicts.put(r.id(), r.usable() ? RunnerVerdict.NOT_DRAWN : RunnerVerdict.DRAINING);
        }
        tried.forEach(id -> verdicts.replace(id, RunnerVerdict.TRIED));
        route(zone, runners, tried, seed).runner().ifPresent(r -> verdicts.put(r.id(), RunnerVerdict.CHOSEN));
        return verdicts;
    }
}
