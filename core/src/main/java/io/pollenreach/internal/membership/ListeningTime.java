package io.pollenreach.internal.membership;

/**
 * Tells since when a process has been able to hear others, so that its own pauses do not count as their silence.
 *
 * <p>A process that is stopped and goes on finds that nobody was heard meanwhile, although they spoke.
 *
 * <p>Invariant: between the returned time and now the process was never paused for {@link #MAX_GAP_MS}, as long as
 * {@link #sinceMs} is called more often than that. Longer gaps between calls count as pauses. Safe for use by many
 * threads. Times are those of the caller's monotonic clock in milliseconds, which must go on while the process is
 * stopped.
 */
public final class ListeningTime {
    /** A gap between two calls that counts as a pause, in milliseconds. */
    public static final long MAX_GAP_MS = 2_000;

    private long sinceMs;
    private long lastMs;

    /** Creates the time of a process that begins to listen now. */
    public ListeningTime(long nowMs) {
        sinceMs = nowMs;
        lastMs = nowMs;
    }

    /** Notes that the process runs now, and returns since when it has listened without a pause. */
    public synchronized long sinceMs(long nowMs) {
        if (nowMs - lastMs >= MAX_GAP_MS) {
            sinceMs = nowMs;
        }
        lastMs = Math.max(lastMs, nowMs);
        return sinceMs;
    }
}
