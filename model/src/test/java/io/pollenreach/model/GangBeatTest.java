package io.pollenreach.model;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks how soon the parts of a gang stop after a death, and that each rule of the gang heartbeat is needed. */
class GangBeatTest {
    private static final String BOUND = "AllStopAfterADeath";
    private static final Specification BEATS = Specification.load("gangbeat.als");

    @Test
    void allPartsStopWithinThreeSilencesOfADeath() {
        assertThat(BEATS.finds(BOUND)).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"AllGoOnWhileTheyBeat", "OneRunsForTwoSilences"})
    void isReachable(String run) {
        assertThat(BEATS.finds(run)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        "stops-in-time, some Part",
        "all-heard, some Part",
        "from-sending, allowed' = allowed ++ p->A0",
        "in-time, some p.asked",
    })
    void ruleIsNeeded(String tag, String replacement) {
        assertThat(BEATS.with(tag, replacement).finds(BOUND)).isTrue();
    }
}
