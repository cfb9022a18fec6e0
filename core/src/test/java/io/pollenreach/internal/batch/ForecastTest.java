package io.pollenreach.internal.batch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ForecastTest {
    private static final long ESTIMATED_MS = 1_000;

    private final TaskProgress task = new TaskProgress(new TaskId("job", 0, 0, 0), 0);

    @Test
    void usesTheEstimateUntilTheRateOfProgressIsKnown() {
        task.place("w", 1, 0);

        assertThat(task.remainingMs(ESTIMATED_MS, 400)).isEqualTo(600);
    }

    @Test
    void expectsARunBeyondItsEstimateToTakeAsLongAgain() {
        task.place("w", 1, 0);

        assertThat(task.remainingMs(ESTIMATED_MS, 3_000)).isEqualTo(3_000);
    }

    @Test
    void extrapolatesTheProgressOfARun() {
        task.place("w", 1, 0);
        task.recordProgress(20, 2_000);

        assertThat(task.remainingMs(ESTIMATED_MS, 3_000)).isEqualTo(7_000);
    }

    @Test
    void measuresTheProgressOfAResumedRunFromItsFirstReport() {
        task.saveCheckpoint("saved");
        task.place("w", 2, 0);
        task.recordProgress(60, 1_000);
        task.recordProgress(70, 2_000);

        assertThat(task.remainingMs(ESTIMATED_MS, 2_000)).isEqualTo(3_000);
    }
}
