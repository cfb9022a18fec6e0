package io.pollenreach.internal.batch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FillerThrottleTest {
    /** How long fillers may cause a target to be missed, in milliseconds; stated by the platform. */
    private static final long MISS_LIMIT_MS = 4_000;

    /** How often an agent updates the throttle, in milliseconds. */
    private static final long UPDATE_INTERVAL_MS = 350;

    private final FillerThrottle throttle = new FillerThrottle(0);

    @Test
    void stopsFillersBeforeTheLimitWhileATargetIsMissed() {
        long now = 0;
        while (throttle.percent() > 0) {
            now += UPDATE_INTERVAL_MS;
            throttle.update(2, now);
        }

        assertThat(now).isLessThan(MISS_LIMIT_MS - UPDATE_INTERVAL_MS);
    }

    @Test
    void keepsFullSpeedWhileLatencyIsFarBelowTarget() {
        for (long now = 0; now < 10_000; now += UPDATE_INTERVAL_MS) {
            throttle.update(0.5, now);
        }

        assertThat(throttle.percent()).isEqualTo(FillerThrottle.FULL_PERCENT);
    }

    @Test
    void raisesSpeedByStepsOnceLatencyIsFarBelowTarget() {
        throttle.update(1.2, 1_000);
        throttle.update(0.4, 2_000);
        assertThat(throttle.percent()).isEqualTo(25);

        throttle.update(0.4, 3_000);

        assertThat(throttle.percent()).isEqualTo(35);
    }

    @Test
    void makesNoSecondChangeBeforeTheFirstTakesEffect() {
        throttle.update(1.2, 1_000);
        throttle.update(1.2, 1_300);

        assertThat(throttle.percent()).isEqualTo(25);
    }
}
