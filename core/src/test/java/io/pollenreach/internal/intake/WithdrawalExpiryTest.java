package io.pollenreach.internal.intake;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WithdrawalExpiryTest {
    private final WithdrawalExpiry expiry = new WithdrawalExpiry(0);

    @Test
    void removesARowThatHasNotChangedForItsTime() {
        assertThat(expiry.expired(Map.of("a", 1L), 60_000)).isEmpty();
        assertThat(expiry.expired(Map.of("a", 1L), 119_999)).isEmpty();
        assertThat(expiry.expired(Map.of("a", 1L), 120_000)).containsExactly(Map.entry("a", 1L));
    }

    // Guards against the removal of a cancellation that was confirmed a moment ago under an id with an old row.
    @Test
    void countsTheTimeOfAChangedRowAnew() {
        expiry.expired(Map.of("a", 1L), 0);

        assertThat(expiry.expired(Map.of("a", 5L), 60_000)).isEmpty();
        assertThat(expiry.expired(Map.of("a", 5L), 120_000)).containsExactly(Map.entry("a", 5L));
    }

    @Test
    void forgetsRowsThatAreGone() {
        expiry.expired(Map.of("a", 1L), 0);
        expiry.expired(Map.of(), 60_000);

        assertThat(expiry.expired(Map.of("a", 1L), 120_000)).isEmpty();
    }

    @Test
    void readsTheTableOnceInThatTime() {
        assertThat(expiry.pollReadDue(59_999)).isFalse();
        assertThat(expiry.pollReadDue(60_000)).isTrue();
        assertThat(expiry.pollReadDue(60_001)).isFalse();
    }
}
