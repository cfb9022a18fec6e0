package io.pollenreach.internal.batch;

import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class TaskBudgetTest {
    @Test
    void leavesHalfOfTheTasksToOthers() {
        TaskBudget budget = new TaskBudget();

        assertThat(budget.tryTake("a", TaskBudget.MAX_TASKS / 2 + 1)).isFalse();
        assertThat(budget.tryTake("a", TaskBudget.MAX_TASKS / 2)).isTrue();
        assertThat(budget.tryTake("a", 1)).isFalse();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void alwaysHasRoomForAWorkspaceWithoutTasks(long seed) {
        Random random = new Random(seed);
        TaskBudget budget = new TaskBudget();
        for (int i = 0; i < 10_000; i++) {
            budget.tryTake("w" + random.nextInt(20), 1 + random.nextInt(5_000));
        }

        assertThat(budget.taken()).isLessThan(TaskBudget.MAX_TASKS + 20 * TaskBudget.OWN_TASKS);
        assertThat(budget.tryTake("late", TaskBudget.OWN_TASKS)).isTrue();
    }
}
