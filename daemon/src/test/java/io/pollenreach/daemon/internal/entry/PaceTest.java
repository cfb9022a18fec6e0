package io.pollenreach.daemon.internal.entry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PaceTest {
    private final DutyCycleLimiter pace = new DutyCycleLimiter(25, 2_000);

    @Test
    void longerWorkIsFollowedByLongerPause() {
        assertThat(pace.isDue(0)).isTrue();
        pace.recordWork(0, 40);
        assertThat(pace.isDue(40 + 999)).isFalse();
        assertThat(pace.isDue(40 + 1_000)).isTrue();
    }

    @Test
    void pauseIsBounded() {
        pace.recordWork(0, 500);
        assertThat(pace.isDue(2_499)).isFalse();
        assertThat(pace.isDue(2_500)).isTrue();
    }
}
