package io.pollenreach;

/**
 * Tells the time in milliseconds.
 *
 * <p>{@link #nowMs()} never goes backwards and has an arbitrary origin: leases and timeouts use it. {@link #wallMs()}
 * is milliseconds since the Unix epoch and may jump: it is only written into records for people to read.
 *
 * <p>Implementations are safe for use by many threads.
 *
 * <pre>{@code
 * long deadlineMs = clock.nowMs() + TIMEOUT_MS;
 * }</pre>
 */
public interface Clock {
    /** Returns the monotonic time in milliseconds. */
    long nowMs();

    /** Returns the wall-clock time in milliseconds since the Unix epoch. */
    long wallMs();

    /** Returns the clock of this machine. */
    static Clock system() {
        return SystemClock.INSTANCE;
    }
}
