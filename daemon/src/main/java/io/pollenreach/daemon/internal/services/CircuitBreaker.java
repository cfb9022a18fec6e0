package io.pollenreach.daemon.internal.services;

import java.util.function.DoubleSupplier;

import io.pollenreach.Clock;

/**
 * Decides whether a call may go to a service that may be out of order.
 *
 * <p>Closed, it admits every call. After some failures in a row it opens and refuses all calls for a jittered wait.
 * Then it admits one probe at a time; a failed probe opens it again for longer. After a successful probe it admits
 * calls at a rate that doubles each second, so that many processes do not fall upon a service that just came back, and
 * closes at the end of this ramp.
 *
 * <p>Invariants: while it is open no call is admitted; while it probes at most one call is under way; a result of a
 * call that was admitted before the last change of state changes nothing. Safe for use by many threads.
 */
final class CircuitBreaker {
    static final int FAILURES_TO_OPEN = 5;
    static final long FIRST_WAIT_MS = 250;
    static final long MAX_WAIT_MS = 2_000;
    static final long RAMP_MS = 4_000;
    static final int RAMP_FIRST_PER_S = 8;
    private static final double MS_PER_S = 1_000;
    private static final double MIN_JITTER = 0.5;

    private final Clock clock;
    private final DoubleSupplier random;
    private State state = State.CLOSED;
    private long generation;
    private int failures;
    private long waitMs = FIRST_WAIT_MS;
    private long openUntilMs;
    private boolean probing;
    private long rampStartMs;
    private long refilledMs;
    private double tokens;

    /**
     * Creates a closed breaker.
     *
     * @param clock tells the time
     * @param random gives numbers from 0 inclusive to 1 exclusive
     */
    CircuitBreaker(Clock clock, DoubleSupplier random) {
        this.clock = clock;
        this.random = random;
    }

    /** Where the breaker stands. Immutable. */
    enum State {
        CLOSED,
        OPEN,
        PROBING,
        RAMPING
    }

    /** What becomes of a call. Immutable. */
    enum Verdict {
        /** The call goes out; its result must be reported. */
        ADMITTED,
        /** The ramp has no room now; the call may be tried again soon. */
        DELAYED,
        /** The service is taken to be out of order. */
        REFUSED
    }

    /** An answer to a call for admission; the generation goes with the report of the result. Immutable. */
    record Admission(Verdict verdict, long generation) {}

    synchronized State state() {
        return state;
    }

    /** Asks whether a call may go out. */
    synchronized Admission admit() {
        long nowMs = clock.nowMs();
        if (state == State.OPEN && nowMs >= openUntilMs) {
            move(State.PROBING);
            probing = false;
        }
        if (state == State.RAMPING && nowMs - rampStartMs >= RAMP_MS) {
            move(State.CLOSED);
        }
        return new Admission(verdict(nowMs), generation);
    }

    /** Reports that the service answered a call. */
    synchronized void succeeded(Admission admission) {
        if (admission.generation() != generation) {
            return;
        }
        failures = 0;
        if (state == State.PROBING) {
            move(State.RAMPING);
            waitMs = FIRST_WAIT_MS;
            rampStartMs = clock.nowMs();
            refilledMs = rampStartMs;
            tokens = 0;
        }
    }

    /** Reports that the service did not answer a call, or refused it. */
    synchronized void failed(Admission admission) {
        if (admission.generation() != generation) {
            return;
        }
        failures++;
        if (state == State.PROBING || failures >= FAILURES_TO_OPEN) {
            open();
        }
    }

    private Verdict verdict(long nowMs) {
        switch (state) {
            case CLOSED:
                return Verdict.ADMITTED;
            case PROBING:
                return admitProbe();
            case RAMPING:
                return takeToken(nowMs) ? Verdict.ADMITTED : Verdict.DELAYED;
            default:
                return Verdict.REFUSED;
        }
    }

    private Verdict admitProbe() {
        if (probing) {
            return Verdict.REFUSED;
        }
        probing = true;
        return Verdict.ADMITTED;
    }

    private boolean takeToken(long nowMs) {
        double perS = RAMP_FIRST_PER_S * Math.pow(2, Math.floor((nowMs - rampStartMs) / MS_PER_S));
        tokens = Math.min(perS, tokens + (nowMs - refilledMs) * perS / MS_PER_S);
        refilledMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private void open() {
        move(State.OPEN);
        openUntilMs = clock.nowMs() + Math.round(waitMs * (MIN_JITTER + random.getAsDouble()));
        waitMs = Math.min(MAX_WAIT_MS, waitMs * 2);
    }

    private void move(State next) {
        state = next;
        generation++;
        failures = 0;
    }
}
