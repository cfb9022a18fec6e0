package io.pollenreach.daemon.internal.clock;

import com.sun.jna.Function;
import com.sun.jna.NativeLibrary;
import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.log.Events;

/**
 * A clock that also counts the time for which the machine was suspended.
 *
 * <p>{@link System#nanoTime()} does not advance while the machine is suspended, so leases and cached state would look
 * more recent than they are. Safe for use by many threads.
 */
public final class BootClock implements Clock {
    /** The id of the Linux clock {@code CLOCK_BOOTTIME}. */
    private static final int CLOCK_BOOTTIME = 7;

    private static final long MS_PER_S = 1_000;
    private static final long NS_PER_MS = 1_000_000;
    private static final Events EVENTS = Events.of(BootClock.class);

    private final Function getTime;

    private BootClock(Function getTime) {
        this.getTime = getTime;
    }

    /** Returns a boot clock, or {@link Clock#system()} if the C library's {@code clock_gettime} can't be called. */
    public static Clock createOrSystemClock() {
        try {
            BootClock clock = new BootClock(NativeLibrary.getInstance("c").getFunction("clock_gettime"));
            clock.nowMs();
            return clock;
        } catch (LinkageError | IllegalStateException e) {
            EVENTS.warn(
                    "boot-clock-missing",
                    "effect",
                    "time during which the machine is suspended is not counted",
                    "error",
                    e);
            return Clock.system();
        }
    }

    @Override
    public long nowMs() {
        // The C type timespec on 64-bit machines: seconds, then nanoseconds.
        long[] time = new long[2];
        int status = getTime.invokeInt(new Object[] {CLOCK_BOOTTIME, time});
        if (status != 0) {
            throw new IllegalStateException("clock_gettime returned " + status);
        }
        return time[0] * MS_PER_S + time[1] / NS_PER_MS;
    }

    @Override
    public long wallMs() {
        return Clock.system().wallMs();
    }
}
