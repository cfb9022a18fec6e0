package io.pollenreach.internal.routing;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Retry budget, adaptive limit, expected lengths and hedging. */
class LimitsTest {
    @Property(tries = 50, seed = "3")
    void retriesStayWithinTheirFraction(@ForAll @IntRange(min = 0, max = 500) int requests) {
        RetryBudget budget = new RetryBudget(0.1, 5);
        int retries = 0;
        for (int i = 0; i < requests; i++) {
            budget.record();
            retries += budget.tryAcquire() ? 1 : 0;
        }
        assertThat(retries).isLessThanOrEqualTo(5 + requests / 10 + 1);
    }

    @Test
    void limitShrinksOnceForABurstOfLateAnswersAndGrowsBack() {
        AdaptiveLimit limit = new AdaptiveLimit(2, 10, 20);
        for (int i = 0; i < 5; i++) {
            limit.record(10, 500, 10, false);
        }
        assertThat(limit.limit()).isEqualTo(8);
        for (int i = 0; i < 40; i++) {
            limit.record(limit.limit(), 10, 10, false);
        }
        assertThat(limit.limit()).isGreaterThan(10);
    }

    @Test
    void limitStaysBetweenItsBounds() {
        AdaptiveLimit limit = new AdaptiveLimit(2, 4, 5);
        for (int i = 0; i < 200; i++) {
            limit.record(9, 500, 10, true);
        }
        assertThat(limit.limit()).isEqualTo(2);
        for (int i = 0; i < 200; i++) {
            limit.record(9, 10, 10, false);
        }
        assertThat(limit.limit()).isEqualTo(5);
    }

    @Test
    void pathsThatDifferInIdentifiersShareTheirLength() {
        ServiceTimeEstimator lengths = new ServiceTimeEstimator(50);
        lengths.record("a", "/drums/17/certificate", 200);
        assertThat(lengths.expectedMs("a", "/drums/18/certificate")).isEqualTo(200);
        assertThat(lengths.expectedMs("b", "/drums/18/certificate")).isEqualTo(50);
    }

    @Test
    void secondCopyIsDueAfterTheUsualLengthAndOnlyForIdempotentRequests() {
        ServiceTimeEstimator lengths = new ServiceTimeEstimator(50);
        HedgePolicy policy = new HedgePolicy(0.95, 2);
        assertThat(policy.delayMs(lengths, "a", "/scan", true, 10_000)).isEmpty();
        for (int i = 0; i < 40; i++) {
            lengths.record("a", "/scan", i == 0 ? 5_000 : 40);
        }
        assertThat(policy.delayMs(lengths, "a", "/scan", true, 10_000)).hasValue(80);
        assertThat(policy.delayMs(lengths, "a", "/scan", false, 10_000)).isEmpty();
        assertThat(policy.delayMs(lengths, "a", "/scan", true, 60)).isEmpty();
    }
}
