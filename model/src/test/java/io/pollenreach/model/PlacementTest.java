package io.pollenreach.model;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks the placement of tasks through the store, and that each of its rules is needed. */
class PlacementTest {
    private static final Specification PLACEMENT = Specification.load("placement.als");

    @ParameterizedTest
    @ValueSource(strings = {"OneRunAtATime", "NothingAfterANotedEnd"})
    void holds(String check) {
        assertThat(PLACEMENT.finds(check)).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"IsDone", "RunsAgainAfterALoss", "RunsAgainAfterAStop"})
    void isReachable(String run) {
        assertThat(PLACEMENT.finds(run)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        "guarded, some s, OneRunAtATime",
        "free, some s, OneRunAtATime",
        "stopped-stays-stopped, some r, OneRunAtATime",
        "late, some r, OneRunAtATime",
        "shown, some r, OneRunAtATime",
        "lapsed, some l, OneRunAtATime",
        "confirmed, some l, OneRunAtATime",
        "stored-first, some r, NothingAfterANotedEnd",
        "end-counts, some r, NothingAfterANotedEnd",
        "ends-first, some l, NothingAfterANotedEnd",
    })
    void ruleIsNeeded(String tag, String replacement, String check) {
        assertThat(PLACEMENT.with(tag, replacement).finds(check)).isTrue();
    }
}
