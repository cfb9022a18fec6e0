package io.pollenreach.model;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks that 3001 is true of every copy of a request, and that each rule behind it is needed. */
class TombstoneTest {
    private static final Specification TOMBSTONE = Specification.load("tombstone.als");

    @Test
    void notRunIsTrue() {
        assertThat(TOMBSTONE.finds("NotRunIsTrue")).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"NotRunIsSaid", "NewEntryServes", "NewEntryServesAfterRefusal"})
    void isReachable(String run) {
        assertThat(TOMBSTONE.finds(run)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        "excludes, some e",
        "not-started, some e",
        "all-answered, some e.sees implies some e.acked",
        "no-loss, some e",
        "silence-is-loss, lossy' = lossy",
        "joined-before-answer, some e",
        "join-before-pull, some e",
        "pull-before-serve, some e",
        "one-survives, some e",
    })
    void ruleIsNeeded(String tag, String replacement) {
        assertThat(TOMBSTONE.with(tag, replacement).finds("NotRunIsTrue")).isTrue();
    }

    /** Longer traces, which take too long for each build: run with {@code -Dmodel.long=true}. */
    @Test
    @EnabledIfSystemProperty(named = "model.long", matches = "true")
    void notRunIsTrueInLongerTraces() {
        assertThat(TOMBSTONE.finds("NotRunIsTrueLonger")).isFalse();
    }

    @ParameterizedTest
    @EnabledIfSystemProperty(named = "model.long", matches = "true")
    @CsvSource({
        "restart-is-loss, lossy' = lossy",
        "loss-is-pulled, lossy' = lossy",
        "views-are-pulled, sees' = sees",
    })
    void ruleIsNeededInLongerTraces(String tag, String replacement) {
        assertThat(TOMBSTONE.with(tag, replacement).finds("NotRunIsTrueLonger")).isTrue();
    }
}
