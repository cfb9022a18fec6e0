package io.pollenreach.internal.claims;

import java.util.Optional;

import io.pollenreach.internal.wire.Outcome;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ClaimDecisionTest {
    private final ClaimRow claimed = ClaimRow.create("r", "w", "sha", "runner-1", "127.0.0.1:1", 7, "mine");

    @Test
    void ownClaimIsSentOnceAndOtherClaimsAreInquired() {
        assertThat(onRow(claimed, "mine", false)).isEqualTo(ClaimDecision.SEND);
        assertThat(onRow(claimed, "mine", true)).isEqualTo(ClaimDecision.INQUIRE);
        assertThat(onRow(claimed, "other", false)).isEqualTo(ClaimDecision.INQUIRE);
        assertThat(ClaimDecision.onRow(Optional.empty(), "sha", "mine", false)).isEqualTo(ClaimDecision.CLAIM);
    }

    @Test
    void recordedOutcomeIsReturnedEvenForOwnClaim() {
        assertThat(onRow(claimed.answered(200, "text/plain", new byte[1]), "mine", false))
                .isEqualTo(ClaimDecision.ANSWER);
        assertThat(onRow(claimed.refused(), "mine", false)).isEqualTo(ClaimDecision.REFUSE);
        assertThat(onRow(claimed.unknown(), "mine", false)).isEqualTo(ClaimDecision.GIVE_UP_UNKNOWN);
    }

    @Test
    void differentBodyDigestIsMismatchInAnsweredState() {
        ClaimRow answered = claimed.answeredAt(200, "text/plain", "answers/r");
        assertThat(ClaimDecision.onRow(Optional.of(answered), "sha2", "mine", false))
                .isEqualTo(ClaimDecision.MISMATCH);
    }

    @Test
    void agentOutcomeDeterminesDecision() {
        assertThat(ClaimDecision.onOutcome(Outcome.ANSWERED)).isEqualTo(ClaimDecision.ANSWER);
        assertThat(ClaimDecision.onOutcome(Outcome.REFUSED)).isEqualTo(ClaimDecision.REFUSE);
        assertThat(ClaimDecision.onOutcome(Outcome.RUNNING)).isEqualTo(ClaimDecision.INQUIRE);
        assertThat(ClaimDecision.onOutcome(Outcome.UNKNOWN)).isEqualTo(ClaimDecision.GIVE_UP_UNKNOWN);
        assertThat(ClaimDecision.onOutcome(Outcome.NEVER_SEEN)).isEqualTo(ClaimDecision.SEND);
    }

    @Test
    void finalStateCannotChange() {
        ClaimRow unknown = claimed.unknown();
        assertThatThrownBy(() -> unknown.answered(200, "text/plain", new byte[0]))
                .isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> claimed.refused().unknown()).isInstanceOf(IllegalStateException.class);
    }

    private static ClaimDecision onRow(ClaimRow row, String nonce, boolean sent) {
        return ClaimDecision.onRow(Optional.of(row), "sha", nonce, sent);
    }
}
