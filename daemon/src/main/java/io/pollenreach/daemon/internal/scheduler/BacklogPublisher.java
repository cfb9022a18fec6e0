package io.pollenreach.daemon.internal.scheduler;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.daemon.internal.store.Transaction;
import io.pollenreach.internal.batch.BacklogCounter;
import io.pollenreach.internal.batch.SchedulerState;
import io.pollenreach.internal.intake.BacklogSnapshot;

/**
 * Publishes the backlog of one term, once in a heartbeat's interval.
 *
 * <p>Invariant: the row travels in a transaction of the term, so that no former leader's figures follow those of a newer
 * one. Confined to the scheduler's thread.
 */
final class BacklogPublisher {
    private final BacklogCounter counter;
    private final Clock clock;
    private final MultiGauge gauge;
    private long publishedMs = Long.MIN_VALUE / 2;

    BacklogPublisher(SchedulerState state, Clock clock, MeterRegistry metrics) {
        counter = new BacklogCounter(state);
        this.clock = clock;
        gauge = MultiGauge.builder("pollenreach.scheduler.backlog")
                .description("Time in which the pool's workers could do the work of a priority, in milliseconds")
                .register(metrics);
    }

    /** Adds the row to a transaction if it is due. */
    void addTo(Transaction tx) {
        long nowMs = clock.nowMs();
        if (nowMs - publishedMs < Scheduler.HEARTBEAT_INTERVAL_MS) {
            return;
        }
        publishedMs = nowMs;
        BacklogSnapshot backlog = counter.count(nowMs, clock.wallMs());
        tx.write(Tables.LEADER, Tables.BACKLOG, RowCodec.toValue(backlog));
        gauge.register(
                backlog.pools().stream()
                        .flatMap(p -> p.byPriority().entrySet().stream()
                                .map(e -> MultiGauge.Row.of(
                                        Tags.of("pool", p.pool(), "priority", Integer.toString(e.getKey())),
                                        e.getValue().work().drainMs(p.capacity()))))
                        .toList(),
                true);
    }
}
