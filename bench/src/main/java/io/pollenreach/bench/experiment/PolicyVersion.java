package io.pollenreach.bench.experiment;

import io.pollenreach.internal.placement.BaselinePlacer;
import io.pollenreach.internal.placement.GuaranteedPlacer;
import io.pollenreach.internal.placement.Placer;
import io.pollenreach.internal.routing.LoadRouter;
import io.pollenreach.internal.routing.RoundRobinRouter;
import io.pollenreach.internal.routing.Router;

/**
 * The policies that experiments compare; earlier versions of ours stay runnable.
 *
 * <p>Immutable; each constant creates the decision classes with its own options.
 */
enum PolicyVersion {
    /** Round robin, first come first served, first fit. */
    BASELINE {
        @Override
        Router router(Workload.Links links) {
            return new RoundRobinRouter();
        }

        @Override
        Placer placer() {
            return new BaselinePlacer();
        }

        @Override
        RequestOptions requests() {
            return new RequestOptions(false, 0, false, false, false);
        }
    },
    /** Guarantees, best fit and least expected wait, with waiting requests in order of arrival. */
    V1 {
        @Override
        Placer placer() {
            return GuaranteedPlacer.builder().reserveAfterMs(0).build();
        }

        @Override
        RequestOptions requests() {
            return new RequestOptions(true, 0, false, false, false);
        }
    };

    /** Creates the router. */
    Router router(Workload.Links links) {
        return LoadRouter.builder().zoneDistanceMs(links.zoneDelayMs()).build();
    }

    /** Creates the placer. */
    abstract Placer placer();

    /** Returns how entries treat requests. */
    abstract RequestOptions requests();

    /**
     * How entries treat requests.
     *
     * @param queued whether requests wait at the entry by shares, else at the runner
     * @param ageing the ageing of the queue; 0 for the order of arrival
     * @param adaptiveLimit whether the requests in flight to each runner are limited by what its answers show
     * @param hedging whether late idempotent requests are sent to a second runner
     * @param dropHopeless whether requests that can't be answered in time are refused
     */
    record RequestOptions(
            boolean queued, double ageing, boolean adaptiveLimit, boolean hedging, boolean dropHopeless) {}
}
