package io.pollenreach.daemon.internal.clock;

import com.sun.jna.Function;
import com.sun.jna.NativeLibrary;
import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.log.Events;

/**
 * A clock that also counts the time for which the machine was suspended.
 *
 * <p>{@link System#nanoTime()} stands still meanwhile, so that knowledge would look fresher than it is. Safe for use by
 * many threads.
 */
public final class BootClock implements Clock {
    /** The number of the kernel's clock {@code CLOCK_BOOTTIME}. */
    private static final int BOOT_TIME = 7;

    private static final long MS_PER_S = 1_000;
    private static final long NS_PER_MS = 1_000_000;
    private static final Events EVENTS = Events.of(BootClock.class);

    private final Function getTime;

    private BootClock(Function getTime) {
        this.getTime = getTime;
    }

    /** Returns the clock, or the machine's steady clock when the library that reads it does not load. */
    public static Clock createOrSystemClock() {
        try {
            BootClock clock = new BootClock(NativeLibrary.getInstance("c").getFunction("clock_gettime"));
            clock.nowMs();
            return clock;
        } catch (LinkageError | IllegalStateException e) {
            EVENTS.warn("boot-clock-missing", "effect", "a suspended machine is not noticed", "error", e);
            return Clock.system();
        }
    }

    @Override
    public long nowMs() {
        // Seconds and nanoseconds, as the C type has them on 64-bit machines.
        long[] time = new long[2];
        int failed = getTime.invokeInt(new Object[] {BOOT_TIME, time});
        if (failed != 0) {
            throw new IllegalStateException("clock_gettime answered " + failed);
        }
        return time[0] * MS_PER_S + time[1] / NS_PER_MS;
    }

    @Override
    public long wallMs() {
        return Clock.system().wallMs();
    }
}
