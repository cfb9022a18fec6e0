package io.pollenreach.daemon.internal.services;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.composite.CompositeMeterRegistry;
import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;

/**
 * A table service that is called with care: retries with jitter, and a circuit breaker each for reads and writes.
 *
 * <p>Invariants: a call is repeated only when surely nothing was written ({@code PLATFORM_UNAVAILABLE}); {@code
 * WRITE_UNKNOWN} and {@code CONFLICT} go to the caller at once. While a breaker is open calls fail with {@code
 * PLATFORM_UNAVAILABLE} without being sent. The guarded table must complete every call. Safe for use by many threads.
 */
public final class GuardedTable implements Table {
    static final int MAX_ATTEMPTS = 3;
    static final long FIRST_BACKOFF_MS = 50;
    private static final String CALLS = "pollenreach.table.calls";
    private static final String RETRIES = "pollenreach.table.retries";
    private static final String CIRCUIT = "pollenreach.table.circuit";

    private final Table table;
    private final Clock clock;
    private final DoubleSupplier random;
    private final Timers delays;
    private final MeterRegistry metrics;
    private final CircuitBreaker reads;
    private final CircuitBreaker writes;

    /**
     * Guards a table.
     *
     * @param table the table service
     * @param clock tells the time
     * @param random gives numbers from 0 inclusive to 1 exclusive, for the jitter
     * @param delays runs retries later
     * @param metrics where calls, retries and the breakers' states (0 closed, 1 open, 2 probing, 3 ramping) are counted
     */
    public GuardedTable(
            Table table, Clock clock, DoubleSupplier random, Timers delays, Optional<MeterRegistry> metrics) {
        this.table = table;
        this.clock = clock;
        this.random = random;
        this.delays = delays;
        // An empty composite counts nothing.
        this.metrics = metrics.orElseGet(CompositeMeterRegistry::new);
        reads = breaker("read");
        writes = breaker("write");
    }

    @Override
    public CompletableFuture<Optional<Row>> get(String name, String key) {
        return new Call<>("get", reads, () -> table.get(name, key)).run();
    }

    @Override
    public CompletableFuture<RowList> list(String name, String prefix, long since) {
        return new Call<>("list", reads, () -> table.list(name, prefix, since)).run();
    }

    @Override
    public CompletableFuture<List<Long>> transact(List<Write> rows) {
        return new Call<>("transact", writes, () -> table.transact(rows)).run();
    }

    private CircuitBreaker breaker(String kind) {
        CircuitBreaker breaker = new CircuitBreaker(clock, random);
        Gauge.builder(CIRCUIT, breaker, b -> b.state().ordinal())
                .tag("kind", kind)
                .strongReference(true)
                .register(metrics);
        return breaker;
    }

    /** One call with its attempts; the attempts follow each other, so its fields need no lock. */
    private final class Call<T> {
        private final String operation;
        private final CircuitBreaker breaker;
        private final Supplier<CompletableFuture<T>> attempt;
        private final CompletableFuture<T> result = new CompletableFuture<>();
        private final long startMs = clock.nowMs();
        private volatile int attempts;

        Call(String operation, CircuitBreaker breaker, Supplier<CompletableFuture<T>> attempt) {
            this.operation = operation;
            this.breaker = breaker;
            this.attempt = attempt;
        }

        CompletableFuture<T> run() {
            attempts++;
            CircuitBreaker.Admission admission = breaker.admit();
            switch (admission.verdict()) {
                case ADMITTED:
                    send().whenComplete((v, t) -> finish(admission, v, t));
                    break;
                case DELAYED:
                    retryOrFail(unavailable("too many calls while the platform comes back"));
                    break;
                default:
                    fail(unavailable("the platform's store is taken to be out of order"));
            }
            return result;
        }

        private CompletableFuture<T> send() {
            try {
                return attempt.get();
            } catch (RuntimeException e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        private void finish(CircuitBreaker.Admission admission, T value, Throwable thrown) {
            if (thrown == null) {
                breaker.succeeded(admission);
                count(ResultCode.OK);
                result.complete(value);
                return;
            }
            PollenreachException failure = PollenreachException.of(thrown);
            if (answered(failure.code())) {
                breaker.succeeded(admission);
            } else {
                breaker.failed(admission);
            }
            if (failure.code() == ResultCode.PLATFORM_UNAVAILABLE) {
                retryOrFail(failure);
                return;
            }
            fail(failure);
        }

        private void retryOrFail(PollenreachException failure) {
            if (attempts >= MAX_ATTEMPTS) {
                fail(failure);
                return;
            }
            metrics.counter(RETRIES, "operation", operation).increment();
            long windowMs = FIRST_BACKOFF_MS << attempts;
            delays.after(Math.round(windowMs * random.getAsDouble()), this::run);
        }

        private void fail(PollenreachException failure) {
            count(failure.code());
            result.completeExceptionally(failure);
        }

        private void count(ResultCode code) {
            metrics.timer(CALLS, "operation", operation, "code", String.valueOf(code.number()))
                    .record(clock.nowMs() - startMs, TimeUnit.MILLISECONDS);
        }
    }

    private static boolean answered(ResultCode code) {
        return code != ResultCode.PLATFORM_UNAVAILABLE && code != ResultCode.WRITE_UNKNOWN;
    }

    private static PollenreachException unavailable(String detail) {
        return new PollenreachException(ResultCode.PLATFORM_UNAVAILABLE, detail);
    }
}
