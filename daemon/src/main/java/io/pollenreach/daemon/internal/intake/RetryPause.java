package io.pollenreach.daemon.internal.intake;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** The pause before a call to the store is repeated, drawn so that many calls do not come together. Stateless. */
final class RetryPause {
    private static final long MEAN_MS = 60;

    private RetryPause() {}

    /** Returns a future that completes after the pause. */
    static CompletableFuture<Void> start() {
        long ms = ThreadLocalRandom.current().nextLong(MEAN_MS / 2, MEAN_MS * 2);
        return CompletableFuture.runAsync(() -> {}, CompletableFuture.delayedExecutor(ms, TimeUnit.MILLISECONDS));
    }
}
