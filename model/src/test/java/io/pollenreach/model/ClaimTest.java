package io.pollenreach.model;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks the claims of non-idempotent requests, and that each of their rules is needed. */
class ClaimTest {
    private static final Specification CLAIM = Specification.load("claim.als");

    @ParameterizedTest
    @ValueSource(strings = {"AtMostOneRun", "NotRunIsTrue", "AnswerIsOfItsRequest", "OutcomeIsFinal"})
    void holds(String check) {
        assertThat(CLAIM.finds(check)).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"AnswerIsTold", "NotRunIsTold", "RetryAfterRestart"})
    void isReachable(String run) {
        assertThat(CLAIM.finds(run)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        "create, some r, AtMostOneRun",
        "bound, some r, AtMostOneRun",
        "incarnation, some b: at.(a.at) | r in b.sent, AtMostOneRun",
        "once, some r, AtMostOneRun",
        "refused-stays-refused, some r, NotRunIsTrue",
        "refuses-only-what-never-ran, some r, NotRunIsTrue",
        "says-the-claimed, some a: at.(i.target.at) | a in World.live and i not in a.ran.id, NotRunIsTrue",
        "own-answer, some r, AnswerIsOfItsRequest",
    })
    void ruleIsNeeded(String tag, String replacement, String check) {
        assertThat(CLAIM.with(tag, replacement).finds(check)).isTrue();
    }
}
