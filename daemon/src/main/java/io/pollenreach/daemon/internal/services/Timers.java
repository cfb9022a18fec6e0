package io.pollenreach.daemon.internal.services;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Runs actions later. Implementations are safe for use by many threads. */
@FunctionalInterface
public interface Timers {
    /** Runs an action after a delay in milliseconds. */
    void after(long delayMs, Runnable action);

    /** Returns the timers of this process. */
    static Timers system() {
        return (delayMs, action) -> CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS)
                .execute(action);
    }
}
