package io.pollenreach.internal.routing;

import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntUnaryOperator;

import com.google.common.hash.Hashing;

/**
 * Decides when callers that are refused should come back.
 *
 * <p>Answers the load of callers that pile up while the store is away: if each came back after the same time, all who were
 * refused during the outage would return within one such time of its end. So the returns are spread over as many seconds
 * as calls have been refused, no later than a caller would wait. A short disturbance costs no caller more than the
 * shortest delay.
 *
 * <p>Invariant: a delay is at least {@link #MIN_DELAY_S}. Safe for use by many threads.
 */
public final class RefusalPacer {
    /** The shortest delay that the header can tell, in seconds. */
    public static final int MIN_DELAY_S = 1;

    /** The longest delay, in seconds: callers wait about three seconds for an answer. */
    public static final int MAX_DELAY_S = 3;

    private static final long NEVER = Long.MIN_VALUE;
    private static final long MS_PER_S = 1_000;

    private final IntUnaryOperator random;
    private final AtomicLong refusedSinceMs = new AtomicLong(NEVER);

    /** Creates a pacer; {@code random} returns a number from 0 to below its argument, all equally likely. */
    public RefusalPacer(IntUnaryOperator random) {
        this.random = random;
    }

    /** Records that a call was served, which ends a series of refusals. */
    public void recordServed() {
        refusedSinceMs.set(NEVER);
    }

    /**
     * Records that a call is refused.
     *
     * @param nowMs the time, by a monotonic clock
     * @param callerWaitsMs how long the caller waits for an answer, in milliseconds, if it said so
     * @return after how many seconds the caller should come back
     */
    public int recordRefused(long nowMs, OptionalLong callerWaitsMs) {
        refusedSinceMs.compareAndSet(NEVER, nowMs);
        long sinceMs = refusedSinceMs.get();
        long refusedForMs = sinceMs == NEVER ? 0 : nowMs - sinceMs;
        long longest = Math.min(MAX_DELAY_S, Math.max(MIN_DELAY_S, refusedForMs / MS_PER_S));
        if (callerWaitsMs.isPresent()) {
            longest = Math.max(MIN_DELAY_S, Math.min(longest, callerWaitsMs.getAsLong() / MS_PER_S));
        }
        return MIN_DELAY_S + random.applyAsInt((int) longest);
    }

    /**
     * Returns after how many seconds a refused caller should come back, the same for each copy of its call, and spread
     * over callers by their ids.
     *
     * @param earliestS the time before which it would be refused again, in seconds
     * @param latestS the time after which coming back is of no use, in seconds
     * @return empty if no delay that callers wait for lies between the two
     */
    public static OptionalInt spread(String id, int earliestS, int latestS) {
        int first = Math.max(MIN_DELAY_S, earliestS);
        int last = Math.min(MAX_DELAY_S, latestS);
        if (first > last) {
            return OptionalInt.empty();
        }
        int hash = Hashing.murmur3_32_fixed().hashUnencodedChars(id).asInt();
        return OptionalInt.of(first + Math.floorMod(hash, last - first + 1));
    }
}
