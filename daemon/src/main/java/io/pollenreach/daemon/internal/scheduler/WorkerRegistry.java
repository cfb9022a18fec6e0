package io.pollenreach.daemon.internal.scheduler;

import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;

/**
 * Lists the worker processes that exist, as known to the service that runs their machines.
 *
 * <p>A process that is not listed has ended, and all its runs with it; a listed one may still be unreachable.
 * Futures fail with {@link PollenreachException}s. Implementations are thread-safe.
 */
@FunctionalInterface
public interface WorkerRegistry {
    /** Returns the platform's names of all worker processes that currently exist. */
    CompletableFuture<Set<String>> existing();

    /** Returns a registry for deployments without one; every query fails. */
    static WorkerRegistry none() {
        return () -> CompletableFuture.failedFuture(
                new PollenreachException(ResultCode.PLATFORM_UNAVAILABLE, "no worker registry is configured"));
    }
}
