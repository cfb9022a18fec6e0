package io.pollenreach.internal.intake;

import java.util.stream.IntStream;

import io.pollenreach.internal.batch.JobOwner;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WithdrawalBudgetTest {
    private static final JobOwner TEAM = new JobOwner("team", "q");

    private final WithdrawalBudget budget = new WithdrawalBudget();

    private long take(JobOwner caller, int calls, long nowMs) {
        return IntStream.range(0, calls)
                .filter(i -> budget.tryTake(caller, nowMs))
                .count();
    }

    // Guards against a flood of cancellations of ids that never existed, each of which would keep a row.
    @Test
    void boundsWhatOneWorkspaceMayHaveStored() {
        assertThat(take(TEAM, 1_000, 0)).isEqualTo(WithdrawalBudget.BURST);
        assertThat(take(TEAM, 1_000, 10_000)).isEqualTo(10L * WithdrawalBudget.PER_SECOND);
        assertThat(take(TEAM, 1_000, 3_600_000)).isEqualTo(WithdrawalBudget.BURST);
    }

    @Test
    void countsAWorkspaceOnceThroughWhicheverQueueItCalls() {
        take(TEAM, WithdrawalBudget.BURST, 0);

        assertThat(budget.tryTake(new JobOwner("team", "r"), 0)).isFalse();
    }

    @Test
    void leavesOthersTheirBudgets() {
        take(TEAM, 1_000, 0);

        assertThat(budget.tryTake(new JobOwner("others", "q"), 0)).isTrue();
        assertThat(budget.tryTake(new JobOwner("", "q"), 0)).isTrue();
    }
}
