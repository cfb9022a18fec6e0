package io.pollenreach;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that moves only when it is told to, for tests and experiments.
 *
 * <p>Invariant: time never goes backwards. Safe for use by many threads.
 *
 * <pre>{@code
 * ManualClock clock = new ManualClock();
 * clock.advanceMs(250);
 * }</pre>
 */
public final class ManualClock implements Clock {
    private final AtomicLong ms = new AtomicLong();

    /**
     * Moves the clock forward.
     *
     * @param deltaMs how far, in milliseconds; not negative
     */
    public void advanceMs(long deltaMs) {
        if (deltaMs < 0) {
            throw new IllegalArgumentException("deltaMs is negative: " + deltaMs);
        }
        ms.addAndGet(deltaMs);
    }

    @Override
    public long nowMs() {
        return ms.get();
    }

    @Override
    public long wallMs() {
        return ms.get();
    }
}
