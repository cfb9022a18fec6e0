package io.pollenreach.internal.batch;

/**
 * Tells from calls in a row that found nothing listening at a worker's address whether its process has ended.
 *
 * <p>Invariant: one refused call proves nothing, since a listener may be opened anew. Not thread-safe.
 */
public final class RefusedCalls {
    /** How long all calls must be refused before the process counts as ended, in milliseconds. */
    static final long MIN_REFUSED_MS = 600;

    private long sinceMs;
    private boolean refused;

    /** Records a refused call; returns whether the process has ended. */
    public boolean add(long nowMs) {
        if (!refused) {
            refused = true;
            sinceMs = nowMs;
        }
        return nowMs - sinceMs >= MIN_REFUSED_MS;
    }

    /** Records a call with any other outcome. */
    public void clear() {
        refused = false;
    }

    /** Tells whether the newest call was refused. */
    public boolean isPending() {
        return refused;
    }
}
