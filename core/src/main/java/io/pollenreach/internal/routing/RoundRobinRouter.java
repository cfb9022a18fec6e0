package io.pollenreach.internal.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Takes usable runners in turn, without regard to their load; the baseline of experiments.
 *
 * <p>The seed is the turn: callers count it up by one with each request. Immutable, so safe for use by many threads.
 */
public final class RoundRobinRouter implements Router {
    @Override
    public Route route(String zone, List<RunnerView> runners, Set<String> tried, long seed) {
        List<RunnerView> able = runners.stream()
                .filter(r -> r.usable() && !tried.contains(r.id()))
                .collect(Collectors.toList());
        if (able.isEmpty()) {
            return new Route(Optional.empty(), "no usable runner");
        }
        return new Route(Optional.of(able.get((int) Math.floorMod(seed, (long) able.size()))), "next in turn");
    }
}
