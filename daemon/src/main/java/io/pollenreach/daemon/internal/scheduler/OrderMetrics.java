package io.pollenreach.daemon.internal.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.pollenreach.internal.batch.OrderCounts;

/**
 * Publishes what the order of waiting work came to: tasks placed by what could still be reached, preemptions, and
 * runs given up on workers that leave.
 *
 * <p>Counters go on over the terms of one process. Confined to the scheduler's thread.
 */
final class OrderMetrics {
    private static final String PLACED = "pollenreach.scheduler.tasks.placed";
    private static final String PREEMPTIONS = "pollenreach.scheduler.preemptions";
    private static final String GIVEN_UP = "pollenreach.scheduler.runs.given.up";

    private final List<Source> sources = new ArrayList<>();

    OrderMetrics(MeterRegistry metrics, OrderCounts counts) {
        add(metrics.counter(PLACED, "timeliness", "in-time"), counts::placedInTime);
        add(metrics.counter(PLACED, "timeliness", "late"), counts::placedLate);
        add(metrics.counter(PLACED, "timeliness", "past-use"), counts::placedPastUse);
        add(metrics.counter(PLACED, "timeliness", "none"), counts::placedWithoutObjective);
        add(metrics.counter(PREEMPTIONS, "outcome", "done"), counts::preempted);
        add(metrics.counter(PREEMPTIONS, "outcome", "refused"), counts::preemptionsRefused);
        add(metrics.counter(GIVEN_UP), counts::givenUp);
    }

    private void add(Counter counter, LongSupplier total) {
        sources.add(new Source(counter, total));
    }

    /** Adds what was counted since the last call. */
    void update() {
        sources.forEach(Source::update);
    }

    private static final class Source {
        private final Counter counter;
        private final LongSupplier total;
        private long published;

        Source(Counter counter, LongSupplier total) {
            this.counter = counter;
            this.total = total;
        }

        void update() {
            long now = total.getAsLong();
            counter.increment(now - published);
            published = now;
        }
    }
}
