package io.pollenreach.internal.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * The requests that one entry has in flight at each runner, and what it infers of the other entries' load.
 *
 * <p>A report counts the requests of all entries as they were a while ago. What this entry had in flight when the
 * report came is taken off, which leaves the others' load; its own is known exactly at any time. So a slot that one of
 * its own answers frees is usable at once, and what it has just sent counts at once.
 *
 * <p>Invariant: counts are never negative. Not safe for use by many threads: callers hold a lock around each call.
 */
public final class InFlightRequests {
    private final Map<String, Count> counts = new HashMap<>();

    /** Counts a request that is being sent. */
    public void sent(String runner) {
        count(runner).own++;
    }

    /** Counts a request off whose answer came or that failed. */
    public void returned(String runner) {
        Count c = count(runner);
        c.own = Math.max(0, c.own - 1);
    }

    /** Returns how many requests are in flight at a runner. */
    public int at(String runner) {
        Count c = counts.get(runner);
        return c == null ? 0 : c.own;
    }

    /** Forgets a runner. */
    public void forget(String runner) {
        counts.remove(runner);
    }

    /**
     * Brings a view up to date.
     *
     * @param reported the runner as it last reported itself
     * @param report a number that differs between one report of the runner and the next
     * @param entries how many entries share the runners; each may always fill its part of the slots, so that an entry
     *     that came late is not kept out by those that refill theirs at once
     * @return the view with the load that is expected there now
     */
    public RunnerView update(RunnerView reported, long report, int entries) {
        Count c = count(reported.id());
        if (c.report != report) {
            c.report = report;
            c.others = Math.max(0, reported.inUse() + reported.queued() - c.own);
        }
        int ownPart = Math.max(1, reported.slots() / Math.max(1, entries));
        int load = Math.min(c.others, Math.max(0, reported.slots() - ownPart)) + c.own;
        int inUse = Math.min(load, reported.slots());
        return new RunnerView(
                reported.id(),
                reported.zone(),
                reported.address(),
                reported.slots(),
                inUse,
                load - inUse,
                c.own,
                reported.meanServiceMs(),
                reported.recentFailures(),
                reported.usable());
    }

    /** Returns a copy with the same counts; changes to one do not affect the other. */
    public InFlightRequests copy() {
        InFlightRequests copy = new InFlightRequests();
        counts.forEach((runner, c) -> {
            Count to = copy.count(runner);
            to.own = c.own;
            to.others = c.others;
            to.report = c.report;
        });
        return copy;
    }

    private Count count(String runner) {
        return counts.computeIfAbsent(runner, r -> new Count());
    }

    private static final class Count {
        private int own;
        private int others;
        private long report = Long.MIN_VALUE;
    }
}
