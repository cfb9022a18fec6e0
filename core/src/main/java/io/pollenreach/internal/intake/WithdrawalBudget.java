package io.pollenreach.internal.intake;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.pollenreach.internal.batch.JobOwner;

/**
 * Bounds how many cancellations of unknown ids each workspace may have stored.
 *
 * <p>Answers a caller that cancels ids which never existed, each of which costs a write and a row for a while: the rows of a
 * workspace stay below the burst and the rate times the time that rows are kept, at each entry. A workspace does not use up
 * the budget of others. Safe for use by many threads.
 */
public final class WithdrawalBudget {
    /** How many a workspace may have stored at once: those of callers that give up together while the store is away. */
    public static final int BURST = 100;

    /** How many more are allowed in a second. */
    public static final int PER_SECOND = 2;

    private static final double MS_PER_S = 1_000;

    /** What a workspace has left. Immutable. */
    private record Balance(double tokens, long asOfMs) {
        Balance at(long nowMs) {
            return new Balance(Math.min(BURST, tokens + (nowMs - asOfMs) / MS_PER_S * PER_SECOND), nowMs);
        }
    }

    private final Map<String, Balance> balances = new ConcurrentHashMap<>();

    /** Takes one cancellation from the budget of its caller; returns whether it is within the budget. */
    public boolean tryTake(JobOwner caller, long nowMs) {
        // Callers of a queue that needs no key share the budget of the queue; no workspace has an empty name.
        String name = caller.workspace().isEmpty() ? '/' + caller.queue() : caller.workspace();
        boolean[] within = new boolean[1];
        balances.compute(name, (k, known) -> {
            Balance left = known == null ? new Balance(BURST, nowMs) : known.at(nowMs);
            within[0] = left.tokens() >= 1;
            return within[0] ? new Balance(left.tokens() - 1, nowMs) : left;
        });
        return within[0];
    }
}
