package io.pollenreach.daemon.internal.entry;

import java.util.HashMap;
import java.util.Map;

import io.pollenreach.Clock;
import io.pollenreach.ResultCode;

/**
 * Workers that placement skips for a short time because a step of a gang's start failed on them.
 *
 * <p>Safe for use by many threads; no other lock is taken while its lock is held.
 */
final class WorkerExclusions {
    /** How long a worker that did not respond is excluded. */
    static final long UNRESPONSIVE_EXCLUSION_MS = 2_000;
    /** How long a worker is excluded that rejected the start, for example because its accelerators were in use. */
    static final long BUSY_EXCLUSION_MS = 200;

    private final Clock clock;
    private final Map<String, Long> untilMs = new HashMap<>();

    WorkerExclusions(Clock clock) {
        this.clock = clock;
    }

    synchronized void exclude(String worker, ResultCode code) {
        boolean unresponsive = code == ResultCode.PEER_TIMEOUT || code == ResultCode.PEER_UNREACHABLE;
        untilMs.merge(
                worker, clock.nowMs() + (unresponsive ? UNRESPONSIVE_EXCLUSION_MS : BUSY_EXCLUSION_MS), Math::max);
    }

    synchronized boolean isExcluded(String worker) {
        Long until = untilMs.get(worker);
        if (until == null) {
            return false;
        }
        if (until <= clock.nowMs()) {
            untilMs.remove(worker);
            return false;
        }
        return true;
    }
}
