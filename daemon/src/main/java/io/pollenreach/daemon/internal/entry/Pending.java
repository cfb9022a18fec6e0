package io.pollenreach.daemon.internal.entry;

import java.util.Collections;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request under way at this entry.
 *
 * <p>Invariant: the answer completes exactly once. Identity equality. Safe for use by many threads.
 */
final class Pending {
    private final CallerRequest request;
    private final String digest;
    private final long arrivedMs;
    private final CompletableFuture<Answer> answer = new CompletableFuture<>();
    private final Set<String> tried = ConcurrentHashMap.newKeySet();
    private final AtomicInteger sends = new AtomicInteger();
    private volatile boolean started;
    private volatile boolean perhapsRun;
    private volatile boolean closedToRetries;

    Pending(CallerRequest request, long arrivedMs) {
        this.request = request;
        this.digest = request.digest();
        this.arrivedMs = arrivedMs;
    }

    CallerRequest request() {
        return request;
    }

    String digest() {
        return digest;
    }

    long arrivedMs() {
        return arrivedMs;
    }

    CompletableFuture<Answer> answer() {
        return answer;
    }

    /** Returns the runners that it was sent to. */
    Set<String> tried() {
        return Collections.unmodifiableSet(tried);
    }

    void sentTo(String runner) {
        tried.add(runner);
        sends.incrementAndGet();
    }

    int sends() {
        return sends.get();
    }

    /** Tells whether the request table counts it as started. */
    boolean started() {
        return started;
    }

    void start() {
        started = true;
    }

    /** Tells whether a runner may have seen a byte of it. */
    boolean perhapsRun() {
        return perhapsRun;
    }

    void notePerhapsRun() {
        perhapsRun = true;
    }

    /** Tells whether it must not be sent again, though no runner saw it. */
    boolean closedToRetries() {
        return closedToRetries;
    }

    void closeToRetries() {
        closedToRetries = true;
    }
}
