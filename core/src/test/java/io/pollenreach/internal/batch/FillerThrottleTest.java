package io.pollenreach.internal.batch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FillerThrottleTest {
    /** How long fillers may cause a target to be missed, in milliseconds; stated by the platform. */
    private static final long BOUND_MS = 4_000;

    /** How often an agent updates the throttle, in milliseconds. */
    private static final long LOOK_MS = 350;

    private final FillerThrottle pace = new FillerThrottle(0);

    @Test
    void stopsFillersBeforeTheLimitWhileATargetIsMissed() {
        long now = 0;
        while (pace.percent() > 0) {
            now += LOOK_MS;
            pace.update(2, now);
        }

        assertThat(now).isLessThan(BOUND_MS - LOOK_MS);
    }

    @Test
    void keepsFullSpeedWhileLatencyIsFarBelowTarget() {
        for (long now = 0; now < 10_000; now += LOOK_MS) {
            pace.update(0.5, now);
        }

        assertThat(pace.percent()).isEqualTo(FillerThrottle.FULL_PERCENT);
    }

    @Test
    void raisesSpeedByStepsOnceLatencyIsFarBelowTarget() {
        pace.update(1.2, 1_000);
        pace.update(0.4, 2_000);
        assertThat(pace.percent()).isEqualTo(25);

        pace.update(0.4, 3_000);

        assertThat(pace.percent()).isEqualTo(35);
    }

    @Test
    void makesNoSecondChangeBeforeTheFirstTakesEffect() {
        pace.update(1.2, 1_000);
        pace.update(1.2, 1_300);

        assertThat(pace.percent()).isEqualTo(25);
    }
}
