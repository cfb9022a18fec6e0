package io.pollenreach.daemon.internal.services;

import io.pollenreach.ManualClock;
import io.pollenreach.daemon.internal.services.CircuitBreaker.Admission;
import io.pollenreach.daemon.internal.services.CircuitBreaker.State;
import io.pollenreach.daemon.internal.services.CircuitBreaker.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CircuitBreakerTest {
    private final ManualClock clock = new ManualClock();
    private final CircuitBreaker breaker = new CircuitBreaker(clock, () -> 0.5);

    @Test
    void opensAfterFailuresInARowOnly() {
        for (int i = 0; i < CircuitBreaker.FAILURES_TO_OPEN * 3; i++) {
            report(i % 2 == 0);
        }
        assertThat(breaker.state()).isEqualTo(State.CLOSED);
        open();
        assertThat(breaker.admit().verdict()).isEqualTo(Verdict.REFUSED);
    }

    @Test
    void admitsOneProbeAtATimeAndWaitsLongerAfterEachThatFails() {
        open();
        long waitMs = CircuitBreaker.FIRST_WAIT_MS;
        for (int i = 0; i < 6; i++) {
            clock.advanceMs(waitMs - 1);
            assertThat(breaker.admit().verdict()).isEqualTo(Verdict.REFUSED);
            clock.advanceMs(1);
            Admission probe = breaker.admit();
            assertThat(probe.verdict()).isEqualTo(Verdict.ADMITTED);
            assertThat(breaker.admit().verdict()).isEqualTo(Verdict.REFUSED);
            breaker.failed(probe);
            waitMs = Math.min(CircuitBreaker.MAX_WAIT_MS, waitMs * 2);
        }
    }

    @Test
    void rampsUpAfterASuccessfulProbe() {
        open();
        clock.advanceMs(CircuitBreaker.FIRST_WAIT_MS);
        breaker.succeeded(breaker.admit());
        assertThat(breaker.state()).isEqualTo(State.RAMPING);
        assertThat(admittedInASecond()).isBetween(CircuitBreaker.RAMP_FIRST_PER_S - 1, CircuitBreaker.RAMP_FIRST_PER_S);
        assertThat(admittedInASecond())
                .isBetween(CircuitBreaker.RAMP_FIRST_PER_S, CircuitBreaker.RAMP_FIRST_PER_S * 2 + 1);
        clock.advanceMs(CircuitBreaker.RAMP_MS);
        assertThat(breaker.admit().verdict()).isEqualTo(Verdict.ADMITTED);
        assertThat(breaker.state()).isEqualTo(State.CLOSED);
    }

    @Test
    void resultsOfCallsFromBeforeTheOutageChangeNothing() {
        Admission early = breaker.admit();
        open();
        clock.advanceMs(CircuitBreaker.FIRST_WAIT_MS);
        Admission probe = breaker.admit();
        breaker.succeeded(early);
        assertThat(breaker.state()).isEqualTo(State.PROBING);
        breaker.succeeded(probe);
        breaker.failed(early);
        assertThat(breaker.state()).isEqualTo(State.RAMPING);
    }

    private void open() {
        for (int i = 0; i < CircuitBreaker.FAILURES_TO_OPEN; i++) {
            report(false);
        }
        assertThat(breaker.state()).isEqualTo(State.OPEN);
    }

    private void report(boolean success) {
        Admission admission = breaker.admit();
        if (success) {
            breaker.succeeded(admission);
        } else {
            breaker.failed(admission);
        }
    }

    private int admittedInASecond() {
        int admitted = 0;
        for (int i = 0; i < 100; i++) {
            clock.advanceMs(10);
            admitted += breaker.admit().verdict() == Verdict.ADMITTED ? 1 : 0;
        }
        return admitted;
    }
}
