package io.pollenreach.model;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks the gang protocol, and that each of its rules is needed. */
class GangTest {
    private static final Specification GANG = Specification.load("gang.als");

    @ParameterizedTest
    @ValueSource(
            strings = {"TasksOnlyOfTheRowsAttempt", "NoPartRunsBeforeAllArePrepared", "EndIsReached", "EndIsFinal"})
    void holds(String check) {
        assertThat(GANG.finds(check)).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"AllRunAndSucceed", "SecondAttemptRuns", "LostAnswerIsReadBack"})
    void isReachable(String run) {
        assertThat(GANG.finds(run)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        "fence, refuses' = refuses, TasksOnlyOfTheRowsAttempt",
        "lapsed-stays-lapsed, refuses' = refuses, TasksOnlyOfTheRowsAttempt",
        "committed, p not in Entries.known, TasksOnlyOfTheRowsAttempt",
        "all-confirmed, 'some toldBy[HasStopped, p]', TasksOnlyOfTheRowsAttempt",
        "all-confirmed, 'Part in toldBy[HasFinished, p]', EndIsReached",
        "all-prepared, 'some toldBy[HasPrepared, p]', NoPartRunsBeforeAllArePrepared",
        "cas, , TasksOnlyOfTheRowsAttempt",
    })
    void ruleIsNeeded(String tag, String replacement, String check) {
        assertThat(GANG.with(tag, replacement == null ? "" : replacement).finds(check))
                .isTrue();
    }
}
