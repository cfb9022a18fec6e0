package io.pollenreach.daemon.internal.clock;

import io.pollenreach.Clock;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BootClockTest {
    @Test
    void readsTheKernelsClockAndNeverGoesBack() {
        Clock clock = BootClock.createOrSystemClock();
        long first = clock.nowMs();

        assertThat(clock).isInstanceOf(BootClock.class);
        assertThat(first).isPositive();
        assertThat(clock.nowMs()).isGreaterThanOrEqualTo(first);
    }
}
