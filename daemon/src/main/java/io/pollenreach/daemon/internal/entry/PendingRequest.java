package io.pollenreach.daemon.internal.entry;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/**
 * A request under way at this entry.
 *
 * <p>Invariants: the answer completes exactly once; after {@link #close()} nothing is sent any more, and it tells for
 * sure whether a runner may have seen a byte. Identity equality. Safe for use by many threads; its lock is a leaf.
 */
final class PendingRequest {
    private final CallerRequest request;
    private final String digest;
    private final long arrivedMs;
    private final CompletableFuture<RunnerResponse> response = new CompletableFuture<>();
    private final Set<String> triedRunners = new HashSet<>();
    private int sends;
    private int possiblySeenSends;
    private int inFlight;
    private boolean started;
    private boolean closed;
    private boolean retriesForbidden;

    PendingRequest(CallerRequest request, long arrivedMs) {
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

    CompletableFuture<RunnerResponse> response() {
        return response;
    }

    /** Cancels a timer once the request is answered, so that the body is not kept until the timer is due. */
    void cancelWhenAnswered(Future<?> timer) {
        response.whenComplete((a, t) -> timer.cancel(false));
    }

    /** Returns the runners that it was sent to. */
    synchronized Set<String> triedRunners() {
        return Set.copyOf(triedRunners);
    }

    /** Begins to send it to a runner; false when it is closed, so that it must not be sent. */
    synchronized boolean beginSend(String runner) {
        if (closed) {
            return false;
        }
        triedRunners.add(runner);
        sends++;
        possiblySeenSends++;
        inFlight++;
        return true;
    }

    /** Notes that one send has ended in whatever way; true when no other is in flight. */
    synchronized boolean endSend() {
        inFlight--;
        return inFlight == 0;
    }

    /** Returns how many sends are in flight. */
    synchronized int inFlight() {
        return inFlight;
    }

    /** Notes that the runner of one send surely saw no byte of it. */
    synchronized void recordUnseenSend() {
        possiblySeenSends--;
    }

    /** Lets nothing be sent any more; true when surely no runner saw a byte. */
    synchronized boolean close() {
        closed = true;
        return possiblySeenSends == 0;
    }

    synchronized int sends() {
        return sends;
    }

    /** Tells whether a runner may have seen a byte of it. */
    synchronized boolean mayHaveRun() {
        return possiblySeenSends > 0;
    }

    /** Tells whether the request table counts it as started. */
    synchronized boolean started() {
        return started;
    }

    synchronized void markStarted() {
        started = true;
    }

    /** Tells whether it must not be sent again, though no runner saw it. */
    synchronized boolean retriesForbidden() {
        return retriesForbidden;
    }

    synchronized void forbidRetries() {
        retriesForbidden = true;
    }
}
