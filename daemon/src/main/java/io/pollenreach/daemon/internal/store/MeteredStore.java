package io.pollenreach.daemon.internal.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;

/**
 * A store whose calls are counted and timed, by operation and result code.
 *
 * <p>Waiting for changes is counted, not timed: it lasts as long as nothing happens. Safe for use by many threads.
 */
public final class MeteredStore implements StateStore {
    /** Bounds of the latency histogram: a quick store, a slow one, one that times out. */
    private static final Duration[] BUCKETS = {
        Duration.ofMillis(10),
        Duration.ofMillis(25),
        Duration.ofMillis(100),
        Duration.ofMillis(500),
        Duration.ofSeconds(1)
    };

    private static final String CALLS = "pollenreach.store.calls";
    private static final String WATCHES = "pollenreach.store.watches";

    private final StateStore store;
    private final MeterRegistry metrics;
    private final Clock clock;

    /** Meters a store. */
    public MeteredStore(StateStore store, MeterRegistry metrics, Clock clock) {
        this.store = store;
        this.metrics = metrics;
        this.clock = clock;
    }

    @Override
    public int maxRowBytes() {
        return store.maxRowBytes();
    }

    @Override
    public CompletableFuture<Optional<StoredRow>> get(String table, String key) {
        return timed("get", store.get(table, key));
    }

    @Override
    public CompletableFuture<Rows> list(String table) {
        return timed("list", store.list(table));
    }

    @Override
    public CompletableFuture<Rows> changes(String table, long after, long waitMs) {
        return store.changes(table, after, waitMs)
                .whenComplete((v, t) -> metrics.counter(WATCHES, "table", table, "code", code(t))
                        .increment());
    }

    @Override
    public CompletableFuture<Long> commit(Transaction transaction) {
        return timed("commit", store.commit(transaction));
    }

    private <T> CompletableFuture<T> timed(String operation, CompletableFuture<T> call) {
        long startMs = clock.nowMs();
        return call.whenComplete((v, t) -> Timer.builder(CALLS)
                .tag("operation", operation)
                .tag("code", code(t))
                .serviceLevelObjectives(BUCKETS)
                .register(metrics)
                .record(clock.nowMs() - startMs, TimeUnit.MILLISECONDS));
    }

    private static String code(Throwable t) {
        ResultCode code = t == null ? ResultCode.OK : PollenreachException.of(t).code();
        return String.valueOf(code.number());
    }
}
