package io.pollenreach;

import java.util.concurrent.TimeUnit;

/** Reads the clocks of this machine. Immutable, so safe for use by many threads. */
final class SystemClock implements Clock {
    static final SystemClock INSTANCE = new SystemClock();

    private SystemClock() {}

    @Override
    public long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public long wallMs() {
        return System.currentTimeMillis();
    }
}
