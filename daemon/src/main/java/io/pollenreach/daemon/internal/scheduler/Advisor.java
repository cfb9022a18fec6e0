package io.pollenreach.daemon.internal.scheduler;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.internal.batch.StepId;

/**
 * Knows which workers may run the steps of advised queues.
 *
 * <p>Failures are {@link PollenreachException}s. Implementations are safe for use by many threads.
 */
@FunctionalInterface
public interface Advisor {
    /**
     * What an advisor says.
     *
     * <p>Immutable.
     *
     * @param ticketByWorker the workers, of those asked for, that may run the step, with the tickets that orders must carry
     * @param validMs how long the tickets are valid, in milliseconds
     */
    record Advice(Map<String, String> ticketByWorker, long validMs) {}

    /** Asks which of some workers may run a step. */
    CompletableFuture<Advice> advise(StepId step, List<String> workers);

    /** Returns an advisor for places that have none. */
    static Advisor none() {
        return (step, workers) -> CompletableFuture.failedFuture(
                new PollenreachException(ResultCode.PLATFORM_UNAVAILABLE, "no advisor is set up"));
    }
}
