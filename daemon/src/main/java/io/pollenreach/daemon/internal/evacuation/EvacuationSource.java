package io.pollenreach.daemon.internal.evacuation;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.daemon.internal.store.Transaction;

/**
 * Tells a scheduler which availability zones are under evacuation.
 *
 * <p>Implementations are safe for use by many threads.
 */
public interface EvacuationSource {
    /** Returns the zones under evacuation, as far as known, with the store's version of each one's row. */
    Map<String, Long> versionByZone();

    /** Returns the condition that a zone is not under evacuation; empty for a zone that cannot be. */
    Optional<Transaction.Condition> conditionFor(String zone);

    /** Reads all rows again; the future fails with the store's error. */
    CompletableFuture<Void> refresh();

    /** Returns a source for deployments without evacuations. */
    static EvacuationSource none() {
        return new EvacuationSource() {
            @Override
            public Map<String, Long> versionByZone() {
                return Map.of();
            }

            @Override
            public Optional<Transaction.Condition> conditionFor(String zone) {
                return Optional.empty();
            }

            @Override
            public CompletableFuture<Void> refresh() {
                return CompletableFuture.completedFuture(null);
            }
        };
    }
}
