package io.pollenreach.internal.membership;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ListeningTimeTest {
    private final ListeningTime listening = new ListeningTime(1_000);

    @Test
    void countsFromTheStartWithoutPauses() {
        for (long nowMs = 1_000; nowMs < 60_000; nowMs += ListeningTime.MAX_GAP_MS - 1) {
            assertThat(listening.sinceMs(nowMs)).isEqualTo(1_000);
        }
    }

    @Test
    void countsFromTheEndOfTheLastPause() {
        assertThat(listening.sinceMs(50_000)).isEqualTo(50_000);
        assertThat(listening.sinceMs(50_500)).isEqualTo(50_000);
    }

    @Test
    void timeReadBeforeAPauseEndsNoPause() {
        listening.sinceMs(50_000);
        listening.sinceMs(1_100);
        assertThat(listening.sinceMs(51_000)).isEqualTo(50_000);
    }
}
