package io.pollenreach.daemon.internal.agent;

import java.util.List;

import io.pollenreach.internal.wire.AttemptId;

/**
 * What heartbeats tell about parts.
 *
 * <p>Implementations are safe for use by many threads.
 */
interface PartReporter {
    /** Reports nothing, for runners. */
    PartReporter NONE = new PartReporter() {
        @Override
        public PartChanges changes(long sinceVersion, boolean whole) {
            return PartChanges.NONE;
        }

        @Override
        public void forgetEnded(long reportedVersion, List<AttemptId> settled) {}
    };

    /** Returns the parts that changed since a version, or all of them, and all ends that are not recorded yet. */
    PartChanges changes(long sinceVersion, boolean whole);

    /** Forgets ends that were reported, or recorded where an entry must record them. */
    void forgetEnded(long reportedVersion, List<AttemptId> settled);
}
