package io.pollenreach.internal.batch;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * What a worker has announced of its near future, counted from the report that tells it.
 *
 * <p>Immutable. Negative times count as 0.
 *
 * @param leavesInMs the least time until the worker leaves, in milliseconds; 0 if it has not said when it leaves
 * @param coldMs how much longer the worker is slow after its start, in milliseconds
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record WorkerOutlook(long leavesInMs, long coldMs) {
    /** The outlook of a worker that has announced nothing. */
    public static final WorkerOutlook NONE = new WorkerOutlook(0, 0);

    public WorkerOutlook {
        leavesInMs = Math.max(0, leavesInMs);
        coldMs = Math.max(0, coldMs);
    }

    /** Tells whether the worker has said when it leaves. */
    public boolean tellsLeave() {
        return leavesInMs > 0;
    }

    /** Returns the outlook after some milliseconds; a worker that is to leave is still to leave. */
    public WorkerOutlook after(long ms) {
        return new WorkerOutlook(tellsLeave() ? Math.max(1, leavesInMs - ms) : 0, coldMs - ms);
    }
}
