package io.pollenreach.daemon.internal.scheduler;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.internal.batch.StepId;

/**
 * Advises which workers may run the steps of advised queues.
 *
 * <p>Futures fail with {@link PollenreachException}s. Implementations are thread-safe.
 */
@FunctionalInterface
public interface Advisor {
    /**
     * The advisor's response to a query.
     *
     * <p>Immutable.
     *
     * @param ticketByWorker the queried workers that may run the step, with the tickets that their orders must carry
     * @param validMs validity of the tickets, in milliseconds
     */
    record Advice(Map<String, String> ticketByWorker, long validMs) {}

    /** Queries which of the given workers may run a step. */
    CompletableFuture<Advice> advise(StepId step, List<String> workers);

    /** Returns an advisor for deployments without one; every query fails. */
    static Advisor none() {
        return (step, workers) -> CompletableFuture.failedFuture(
                new PollenreachException(ResultCode.PLATFORM_UNAVAILABLE, "no advisor is configured"));
    }
}
