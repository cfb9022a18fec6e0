package io.pollenreach.internal.batch;

/**
 * The longest lease that a worker may hold, as its agent reports it to the scheduler.
 *
 * <p>Each process reads the length of a lease when it starts, so the agent before, the agent now and the scheduler may have
 * read different ones. Whoever grants a lease tells its length, and the scheduler counts with that.
 *
 * <p>Invariant: the length is never below that of a lease which an earlier process of the agent may have granted and which
 * may not have expired. Immutable, so safe for use by many threads.
 */
public final class GrantedLease {
    private final long ownMs;
    private final long formerMs;
    private final long formerUntilMs;

    /**
     * Creates the lease of an agent that registers its worker.
     *
     * @param ownMs the length of the leases that it grants, in milliseconds
     * @param formerMs the length that the report before told, in milliseconds; 0 if there is none
     * @param nowMs the time, by a monotonic clock, when that report had been read
     */
    public GrantedLease(long ownMs, long formerMs, long nowMs) {
        this.ownMs = ownMs;
        this.formerMs = formerMs;
        formerUntilMs = nowMs + LostWorkerDetector.expiredAfterMs(formerMs);
    }

    /** Returns the length to report at a time, in milliseconds. */
    public long longestMs(long nowMs) {
        return nowMs <= formerUntilMs ? Math.max(ownMs, formerMs) : ownMs;
    }
}
