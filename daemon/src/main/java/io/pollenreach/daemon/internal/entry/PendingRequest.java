package io.pollenreach.daemon.internal.entry;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/**
 * A request of this entry that has no response yet.
 *
 * <p>Invariants: the response completes exactly once; after {@link #close()} the request is not sent again, so the
 * result of that call on whether a runner may have received a byte is final. Identity equality. Safe for use by many
 * threads; no other lock is taken while its lock is held.
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

    /**
     * Cancels a timer once the request completes, so that the timer does not keep the body in memory until it is due.
     */
    void cancelWhenAnswered(Future<?> timer) {
        response.whenComplete((a, t) -> timer.cancel(false));
    }

    /** Returns the runners that the request was sent to. */
    synchronized Set<String> triedRunners() {
        return Set.copyOf(triedRunners);
    }

    /** Records the start of a send to a runner; false when the request is closed and must not be sent. */
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

    /** Records that one send has ended, successfully or not; true when no other send is in flight. */
    synchronized boolean endSend() {
        inFlight--;
        return inFlight == 0;
    }

    /** Returns how many sends are in flight. */
    synchronized int inFlight() {
        return inFlight;
    }

    /** Records that no runner received any byte of one send. */
    synchronized void recordUnseenSend() {
        possiblySeenSends--;
    }

    /** Forbids further sends; true when no runner can have received any byte of the request. */
    synchronized boolean close() {
        closed = true;
        return possiblySeenSends == 0;
    }

    synchronized int sends() {
        return sends;
    }

    /** Returns whether a runner may have received a byte of the request, and so may have run it. */
    synchronized boolean mayHaveRun() {
        return possiblySeenSends > 0;
    }

    /** Returns whether the request table counts the request as started. */
    synchronized boolean started() {
        return started;
    }

    synchronized void markStarted() {
        started = true;
    }

    /** Returns whether the request must not be sent again although no runner has received it. */
    synchronized boolean retriesForbidden() {
        return retriesForbidden;
    }

    synchronized void forbidRetries() {
        retriesForbidden = true;
    }
}
