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
 * <p>Each version adds one change to the one before. Immutable; each constant creates the decision classes with its own
 * options.
 */
enum PolicyVersion {
    /** Round robin, first come first served, first fit. */
    BASELINE(RequestOptions.NONE) {
        @Override
        Router router(Workload.Links links) {
            return new RoundRobinRouter();
        }

        @Override
        Placer placer() {
            return new BaselinePlacer();
        }
    },
    /** Guarantees, best fit and least expected wait, with waiting requests in order of arrival. */
    V1(RequestOptions.NONE.withQueue(0)),
    /** Entries tell their own load at a runner from that of other entries. */
    V2(V1.requests.withOthersCounted()),
    /** Entries may always fill their part of a runner's slots. */
    V3(V2.requests.withOwnPart()),
    /** Runners get enough requests to keep their slots busy while answers travel. */
    V4(V3.requests.withWayCovered()),
    /** A guaranteed shape covers as many jobs as fit into it. */
    V5(V4.requests) {
        @Override
        GuaranteedPlacer.Builder placement() {
            return V4.placement().divisible(true);
        }
    },
    /** Single parts borrow free room rather than cut up the guarantee of a gang. */
    V6(V5.requests) {
        @Override
        GuaranteedPlacer.Builder placement() {
            return V5.placement().spareGangs(true);
        }
    },
    /** Borrowers are moved together for gangs that have waited. */
    V7(V6.requests) {
        @Override
        GuaranteedPlacer.Builder placement() {
            return V6.placement().moveAfterMs(5_000);
        }
    },
    /** Short work first within a workspace, and room is kept for jobs that have waited long. */
    V8(V7.requests.withQueue(10)) {
        @Override
        GuaranteedPlacer.Builder placement() {
            return V7.placement().reserveAfterMs(600_000);
        }
    };

    private final RequestOptions requests;

    PolicyVersion(RequestOptions requests) {
        this.requests = requests;
    }

    /** Creates the router. */
    Router router(Workload.Links links) {
        return LoadRouter.builder()
                .zoneDistanceMs(links.zoneDelayMs())
                .coverWay(requests.coverWay())
                .build();
    }

    /** Creates the placer. */
    Placer placer() {
        return placement().build();
    }

    /** Returns the options of the placer. */
    GuaranteedPlacer.Builder placement() {
        return GuaranteedPlacer.builder()
                .divisible(false)
                .spareGangs(false)
                .reserveAfterMs(0)
                .moveAfterMs(0);
    }

    /** Returns how entries treat requests. */
    RequestOptions requests() {
        return requests;
    }
}
