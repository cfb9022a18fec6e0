package io.pollenreach.daemon.internal.scheduler;

import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;

/**
 * Knows which worker processes exist, from whoever runs their machines.
 *
 * <p>A process that it does not name has ended, and all its runs with it; one that it names may still be out of reach.
 * Failures are {@link PollenreachException}s. Implementations are safe for use by many threads.
 */
@FunctionalInterface
public interface WorkerRegistry {
    /** Returns the platform's names of all worker processes that exist at present. */
    CompletableFuture<Set<String>> existing();

    /** Returns a registry for places that have none. */
    static WorkerRegistry none() {
        return () -> CompletableFuture.failedFuture(
                new PollenreachException(ResultCode.PLATFORM_UNAVAILABLE, "no list of machines is set up"));
    }
}
