package io.pollenreach.bench.experiment;

/**
 * How entries treat requests.
 *
 * <p>Immutable.
 *
 * @param queued whether requests wait at the entry by shares, else at the runner
 * @param ageing the ageing of the queue; 0 for the order of arrival
 * @param countOthers whether an entry tells its own load at a runner from that of other entries
 * @param ownPart whether an entry may always fill its part of the slots
 * @param coverWay whether runners get enough requests to keep their slots busy while answers travel
 * @param adaptiveLimit whether the requests in flight to each runner are limited by what its answers show
 * @param hedging whether late idempotent requests are sent to a second runner
 * @param dropHopeless whether requests that can't be answered in time are refused
 */
record RequestOptions(
        boolean queued,
        double ageing,
        boolean countOthers,
        boolean ownPart,
        boolean coverWay,
        boolean adaptiveLimit,
        boolean hedging,
        boolean dropHopeless) {
    static final RequestOptions NONE = new RequestOptions(false, 0, false, false, false, false, false, false);

    RequestOptions withQueue(double ageing) {
        return new RequestOptions(true, ageing, countOthers, ownPart, coverWay, adaptiveLimit, hedging, dropHopeless);
    }

    RequestOptions withOthersCounted() {
        return new RequestOptions(queued, ageing, true, ownPart, coverWay, adaptiveLimit, hedging, dropHopeless);
    }

    RequestOptions withOwnPart() {
        return new RequestOptions(queued, ageing, countOthers, true, coverWay, adaptiveLimit, hedging, dropHopeless);
    }

    RequestOptions withWayCovered() {
        return new RequestOptions(queued, ageing, countOthers, ownPart, true, adaptiveLimit, hedging, dropHopeless);
    }

    RequestOptions withAdaptiveLimit() {
        return new RequestOptions(queued, ageing, countOthers, ownPart, coverWay, true, hedging, dropHopeless);
    }

    RequestOptions withHedging() {
        return new RequestOptions(queued, ageing, countOthers, ownPart, coverWay, adaptiveLimit, true, dropHopeless);
    }

    RequestOptions withHopelessDropped() {
        return new RequestOptions(queued, ageing, countOthers, ownPart, coverWay, adaptiveLimit, hedging, true);
    }
}
