package io.pollenreach.daemon.internal.entry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PaceTest {
    private final Pace pace = new Pace(25, 2_000);

    @Test
    void longerWorkIsFollowedByLongerPause() {
        assertThat(pace.due(0)).isTrue();
        pace.worked(0, 40);
        assertThat(pace.due(40 + 999)).isFalse();
        assertThat(pace.due(40 + 1_000)).isTrue();
    }

    @Test
    void pauseIsBounded() {
        pace.worked(0, 500);
        assertThat(pace.due(2_499)).isFalse();
        assertThat(pace.due(2_500)).isTrue();
    }
}
