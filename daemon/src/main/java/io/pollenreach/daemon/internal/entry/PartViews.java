package io.pollenreach.daemon.internal.entry;

import java.util.List;
import java.util.Optional;

import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.internal.jobs.PartView;
import io.pollenreach.internal.membership.TargetTable;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.PartReport;
import io.pollenreach.internal.wire.PartState;
import io.pollenreach.internal.wire.WorkerParts;

/**
 * Derives the known states of a job's parts from the tables of the blackboard.
 *
 * <p>Invariant: a part is {@link PartView#STOPPED} or {@link PartView#LAPSED} only if its task can't run any
 * more: its agent no longer holds it, or its lease has expired.
 * Safe for use by many threads; it keeps no state.
 */
final class PartViews {
    /**
     * Time without contact to a worker after which its tasks have stopped, in milliseconds: an agent that reaches no
     * entry stops its tasks after 30 s, and their leases expire 3 s later.
     */
    static final long LEASE_EXPIRED_AFTER_MS = 36_000;
    /** How long after a change of a row the report of its part may still be outstanding, in milliseconds. */
    static final long REPORT_DELAY_MS = 3_000;

    private final Blackboard blackboard;
    private final Clock clock;

    PartViews(Blackboard blackboard, Clock clock) {
        this.blackboard = blackboard;
        this.clock = clock;
    }

    /** Returns the known state of each part, by rank. */
    List<PartView> of(JobRow row) {
        return row.record().parts().stream().map(p -> of(row, p)).toList();
    }

    /**
     * Returns for how many milliseconds this entry has been able to observe the parts of a row that it has seen.
     *
     * <p>The count starts anew after a pause of this entry, since the first messages that it reads then were sent
     * before the pause.
     */
    long observedMs(JobRow row) {
        return blackboard.listenedMs(row.seenAtMs(), clock.nowMs());
    }

    /**
     * Tells whether the agent of a part has been without contact for so long that the lease of its task has expired.
     *
     * <p>Time in which this entry could not hear it does not count. An agent that was started later under the name of
     * the worker and at another address does not keep the part's lease, since from then on only that one is answered.
     */
    boolean leaseExpired(Part part) {
        long lastContactMs =
                blackboard.targets().heardMs(part.worker(), part.address()).orElse(blackboard.startedMs());
        return blackboard.listenedMs(lastContactMs, clock.nowMs()) > LEASE_EXPIRED_AFTER_MS;
    }

    private PartView of(JobRow row, Part part) {
        Optional<WorkerParts> known = blackboard.parts().get(part.worker());
        Optional<PartReport> report = known.flatMap(w -> find(w, row.record().attemptId(), part.rank()));
        if (report.isPresent() && report.get().state().ended()) {
            return view(report.get().state());
        }
        if (leaseExpired(part)) {
            return PartView.LAPSED;
        }
        if (report.isPresent()) {
            return view(report.get().state());
        }
        boolean responsive = blackboard
                .targets()
                .heardMs(part.worker())
                .filter(h -> clock.nowMs() - h < TargetTable.TARGET_SILENCE_MS)
                .isPresent();
        boolean reportDue = observedMs(row) > REPORT_DELAY_MS;
        return known.isPresent() && responsive && reportDue ? PartView.STOPPED : PartView.UNKNOWN;
    }

    private static Optional<PartReport> find(WorkerParts w, AttemptId id, int rank) {
        return w.parts().stream()
                .filter(p -> p.rank() == rank && p.id().equals(id))
                .findFirst();
    }

    private static PartView view(PartState state) {
        switch (state) {
            case RUNNING:
            case STOPPING:
                return PartView.RUNNING;
            case SUCCEEDED:
                return PartView.SUCCEEDED;
            case FAILED:
                return PartView.FAILED;
            case STOPPED:
                return PartView.STOPPED;
            default:
                return PartView.PREPARED;
        }
    }
}
