package io.pollenreach.daemon.internal.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.process.FatalErrors;

/**
 * Follows one table: reads it whole, then takes each change.
 *
 * <p>Invariants: the listener is called by one thread at a time, with rows in the store's order; after a gap in the
 * history the whole table is read again and handed over as a snapshot. {@link #freshAsOfMs()} is a time at which the
 * store surely had nothing newer than what the listener was given. It goes on until it is closed or the process ends. Safe for use
 * by many threads.
 */
public final class TableWatch implements AutoCloseable {
    /** Takes what a watch finds. */
    public interface Listener {
        /** Takes the whole table; rows that are missing from it do not exist. */
        void snapshot(Rows rows);

        /** Takes changes; there may be none. */
        void changes(Rows rows);
    }

    private static final long FIRST_BACKOFF_MS = 50;
    /** Longest pause between tries, in milliseconds: an outage must be noticed to be over within half a second. */
    private static final long MAX_BACKOFF_MS = 400;

    private static final long NEVER = Long.MIN_VALUE;
    private static final Events EVENTS = Events.of(TableWatch.class);

    private final StateStore store;
    private final String table;
    private final long waitMs;
    private final Clock clock;
    private final Listener listener;
    private volatile boolean closed;
    private volatile long freshAsOfMs = NEVER;
    private volatile long healthySinceMs = NEVER;
    private volatile int failures;

    /**
     * Creates a watch that does nothing yet.
     *
     * @param store the store
     * @param table the table to follow
     * @param waitMs how long one call waits for changes, in milliseconds
     * @param clock tells the age of what is known
     * @param listener takes what is found
     */
    public TableWatch(StateStore store, String table, long waitMs, Clock clock, Listener listener) {
        this.store = store;
        this.table = table;
        this.waitMs = waitMs;
        this.clock = clock;
        this.listener = listener;
    }

    /** Starts with reading the whole table. */
    public void start() {
        read();
    }

    /** Starts with the changes after a version. */
    public void startAfter(long version) {
        follow(version);
    }

    private void read() {
        if (closed) {
            return;
        }
        long sentMs = clock.nowMs();
        call(() -> store.list(table)).whenComplete(FatalErrors.required(part(), (rows, failure) -> {
            Throwable t = failure == null ? deliver(() -> listener.snapshot(rows)) : failure;
            if (t != null) {
                later(t, this::read);
                return;
            }
            succeeded(sentMs);
            follow(rows.version());
        }));
    }

    private String part() {
        return "watch-" + table;
    }

    private void follow(long after) {
        if (closed) {
            return;
        }
        long sentMs = clock.nowMs();
        call(() -> store.changes(table, after, waitMs)).whenComplete(FatalErrors.required(part(), (rows, failure) -> {
            Throwable t = failure == null ? deliver(() -> listener.changes(rows)) : failure;
            if (t == null) {
                succeeded(sentMs);
                follow(Math.max(after, rows.version()));
            } else if (PollenreachException.of(t).code() == ResultCode.HISTORY_GONE) {
                EVENTS.info("watch-history-gone", "table", table, "after", after);
                read();
            } else {
                later(t, () -> follow(after));
            }
        }));
    }

    // A call that cannot even be made, for instance to an address that makes no sense, must not end the watch.
    private static CompletableFuture<Rows> call(Supplier<CompletableFuture<Rows>> call) {
        try {
            return call.get();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private Throwable deliver(Runnable call) {
        if (closed) {
            return null;
        }
        try {
            call.run();
            return null;
        } catch (RuntimeException | StackOverflowError e) {
            EVENTS.warn("watch-listener-failed", "table", table, "error", e);
            return e;
        }
    }

    private void succeeded(long sentMs) {
        if (failures > 0) {
            EVENTS.info("store-regained", "table", table, "failures", failures);
        }
        failures = 0;
        freshAsOfMs = sentMs;
        if (healthySinceMs == NEVER) {
            healthySinceMs = clock.nowMs();
        }
    }

    private void later(Throwable t, Runnable next) {
        healthySinceMs = NEVER;
        failures++;
        if (failures == 1 && !closed) {
            PollenreachException e = PollenreachException.of(t);
            EVENTS.warn("store-lost", "table", table, "code", e.code().number(), "error", e.getMessage());
        }
        long capMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << Math.min(failures, 4));
        long delayMs = ThreadLocalRandom.current().nextLong(capMs / 2, capMs + 1);
        CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS).execute(FatalErrors.required(part(), next));
    }

    /** Returns when the last successful call was sent, by the watch's clock; very early when there was none. */
    public long freshAsOfMs() {
        return freshAsOfMs;
    }

    /** Tells whether all calls of the last {@code forMs} milliseconds succeeded. */
    public boolean healthyFor(long forMs) {
        long since = healthySinceMs;
        return since != NEVER && clock.nowMs() - since >= forMs;
    }

    @Override
    public void close() {
        closed = true;
    }
}
