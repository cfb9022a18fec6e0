package io.pollenreach.internal.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Chooses the runner with the least expected time to an answer among a few drawn at random.
 *
 * <p>The expected time is the wait for a slot, the service time, the way between zones and a penalty for recent
 * failures. Drawing only a few keeps entries with equally old reports from sending everything to the same runner.
 * Runners without room are passed over, so that requests wait where shares and order can still act on them.
 *
 * <p>Immutable, so safe for use by many threads.
 */
public final class LoadRouter implements Router {
    /** The most requests beyond the slots, as a fraction of the slots. */
    private static final double MAX_ON_THE_WAY = 0.5;

    private final int choices;
    private final double zoneDistanceMs;
    private final int setAsideFailures;
    private final boolean coverWay;

    private LoadRouter(Builder b) {
        this.choices = b.choices;
        this.zoneDistanceMs = b.zoneDistanceMs;
        this.setAsideFailures = b.setAsideFailures;
        this.coverWay = b.coverWay;
    }

    /** Returns a builder with the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public Route route(String zone, List<RunnerView> runners, Set<String> tried, long seed) {
        Sorted sorted = sort(runners, tried);
        String rejected = " full=" + sorted.full + " failing=" + sorted.failing.size() + " tried=" + tried.size()
                + " unusable=" + sorted.unusable + " of=" + runners.size();
        List<RunnerView> from = sorted.candidates();
        if (from.isEmpty()) {
            return new Route(Optional.empty(), "no room;" + rejected);
        }
        RunnerView best = best(zone, drawn(from, seed));
        String reason = "expected " + Math.round(expectedMs(zone, best)) + " ms;";
        return new Route(Optional.of(best), reason + rejected);
    }

    @Override
    public Map<String, RunnerVerdict> verdicts(String zone, List<RunnerView> runners, Set<String> tried, long seed) {
        Map<String, RunnerVerdict> verdicts = new HashMap<>();
        runners.forEach(r -> verdicts.put(r.id(), standing(r, tried)));
        List<RunnerView> from = sort(runners, tried).candidates();
        from.forEach(r -> verdicts.put(r.id(), RunnerVerdict.NOT_DRAWN));
        drawn(from, seed).forEach(r -> verdicts.put(r.id(), RunnerVerdict.SLOWER));
        route(zone, runners, tried, seed).runner().ifPresent(r -> verdicts.put(r.id(), RunnerVerdict.CHOSEN));
        return verdicts;
    }

    private Sorted sort(List<RunnerView> runners, Set<String> tried) {
        Sorted sorted = new Sorted();
        for (RunnerView r : runners) {
            sorted.add(r, standing(r, tried));
        }
        return sorted;
    }

    /** Returns why a runner is no candidate; {@link RunnerVerdict#NOT_DRAWN} for one that is. */
    private RunnerVerdict standing(RunnerView r, Set<String> tried) {
        if (!r.usable()) {
            return RunnerVerdict.DRAINING;
        }
        if (tried.contains(r.id())) {
            return RunnerVerdict.TRIED;
        }
        if (load(r) >= room(r)) {
            return RunnerVerdict.FULL;
        }
        return failing(r) ? RunnerVerdict.FAILING : RunnerVerdict.NOT_DRAWN;
    }

    /** Moves the runners that are compared to the front, and returns these. */
    private List<RunnerView> drawn(List<RunnerView> from, long seed) {
        Random random = new Random(seed);
        int draws = Math.min(choices, from.size());
        for (int i = 0; i < draws; i++) {
            Collections.swap(from, i, i + random.nextInt(from.size() - i));
        }
        return from.subList(0, draws);
    }

    private RunnerView best(String zone, List<RunnerView> drawn) {
        RunnerView best = drawn.get(0);
        for (RunnerView r : drawn) {
            if (expectedMs(zone, r) < expectedMs(zone, best)) {
                best = r;
            }
        }
        return best;
    }

    private boolean failing(RunnerView r) {
        return setAsideFailures > 0 && r.recentFailures() >= setAsideFailures;
    }

    /** Returns how many requests may be at a runner, those on their way included. */
    private double room(RunnerView r) {
        if (!coverWay || r.meanServiceMs() <= 0) {
            return r.slots();
        }
        double onTheWay = 2 * zoneDistanceMs / r.meanServiceMs();
        return r.slots() * (1 + Math.min(MAX_ON_THE_WAY, onTheWay));
    }

    /** The report counts what this entry had sent before it; newer ones are known only here. */
    private static int load(RunnerView r) {
        return Math.max(r.inUse() + r.queued(), r.sentSince());
    }

    private double expectedMs(String zone, RunnerView r) {
        int slots = Math.max(1, r.slots());
        double busy = (double) load(r) / slots;
        double wait = Math.max(0, load(r) + 1 - slots) * r.meanServiceMs() / slots;
        double way = zone.equals(r.zone()) ? 0 : 2 * zoneDistanceMs;
        double failures = r.recentFailures() * r.meanServiceMs();
        // Among runners with free slots the less busy one is preferred, by up to one zone distance.
        return wait + r.meanServiceMs() + way + failures + busy * zoneDistanceMs;
    }

    /** The runners of one call by their standing. Confined to that call. */
    private static final class Sorted {
        private final List<RunnerView> able = new ArrayList<>();
        private final List<RunnerView> failing = new ArrayList<>();
        private int full;
        private int unusable;

        void add(RunnerView r, RunnerVerdict standing) {
            switch (standing) {
                case DRAINING:
                    unusable++;
                    break;
                case FULL:
                    full++;
                    break;
                case FAILING:
                    failing.add(r);
                    break;
                case NOT_DRAWN:
                    able.add(r);
                    break;
                default:
                    break;
            }
        }

        /** With nobody else left a failing runner is better than none, as its failures may be the requests' own. */
        List<RunnerView> candidates() {
            return able.isEmpty() && full == 0 ? failing : able;
        }
    }

    /** Collects the options of a router. Not safe for use by many threads. */
    public static final class Builder {
        private static final int CHOICES = 3;
        private static final double ZONE_DISTANCE_MS = 5;
        private static final int SET_ASIDE_FAILURES = 5;

        private int choices = CHOICES;
        private double zoneDistanceMs = ZONE_DISTANCE_MS;
        private int setAsideFailures = SET_ASIDE_FAILURES;
        private boolean coverWay = true;

        private Builder() {}

        /** Sets how many runners are drawn and compared, at least 1. */
        public Builder choices(int choices) {
            this.choices = choices;
            return this;
        }

        /** Sets how long a message takes between two zones one way, in milliseconds. */
        public Builder zoneDistanceMs(double ms) {
            this.zoneDistanceMs = ms;
            return this;
        }

        /** Sets from how many recent failures a runner is avoided; 0 for never. */
        public Builder setAsideFailures(int failures) {
            this.setAsideFailures = failures;
            return this;
        }

        /** Sets whether runners get more requests than slots, so that slots are not idle while answers travel. */
        public Builder coverWay(boolean cover) {
            this.coverWay = cover;
            return this;
        }

        /** Creates the router. */
        public LoadRouter build() {
            return new LoadRouter(this);
        }
    }
}
