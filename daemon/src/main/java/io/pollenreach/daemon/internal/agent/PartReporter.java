package io.pollenreach.daemon.internal.agent;

import java.util.List;

import io.pollenreach.internal.wire.AttemptId;

/**
 * Supplies the reports of parts that heartbeats carry.
 *
 * <p>Implementations are safe for use by many threads.
 */
interface PartReporter {
    /** Reports no parts; used by runners. */
    PartReporter NONE = new PartReporter() {
        @Override
        public PartChanges changes(long sinceVersion, boolean whole) {
            return PartChanges.NONE;
        }

        @Override
        public void forgetEnded(long reportedVersion, List<AttemptId> settled) {}
    };

    /** Returns reports of the parts changed since a version, or of all, and of all ended parts not yet recorded. */
    PartChanges changes(long sinceVersion, boolean whole);

    /** Forgets ended parts that were reported, or, where an entry must record the end, that are settled. */
    void forgetEnded(long reportedVersion, List<AttemptId> settled);
}
