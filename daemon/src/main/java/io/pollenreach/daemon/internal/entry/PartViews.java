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
 * Derives what is known of a job's parts from the tables of the blackboard.
 *
 * <p>Invariant: a part is {@link PartView#STOPPED} or {@link PartView#LAPSED} only when its task surely runs no more.
 * Safe for use by many threads; it keeps no state.
 */
final class PartViews {
    /**
     * How long a worker must be silent until its tasks have surely stopped, in milliseconds: an agent that reaches no
     * entry stops its tasks after 30 s, and their leases lapse 3 s later.
     */
    static final long LOST_AFTER_MS = 36_000;
    /** How long after a row changed an agent may not yet have reported its part, in milliseconds. */
    static final long REPORT_DELAY_MS = 3_000;

    private final Blackboard board;
    private final Clock clock;

    PartViews(Blackboard board, Clock clock) {
        this.board = board;
        this.clock = clock;
    }

    /** Returns what is known of each part, by rank. */
    List<PartView> of(JobRow row) {
        return row.record().parts().stream().map(p -> of(row, p)).toList();
    }

    /** Tells whether a worker has been silent so long that its tasks have surely stopped. */
    boolean lapsed(String worker) {
        long heard = board.targets().heardMs(worker).orElse(board.startedMs());
        return clock.nowMs() - Math.max(heard, board.startedMs()) > LOST_AFTER_MS;
    }

    private PartView of(JobRow row, Part part) {
        Optional<WorkerParts> known = board.parts().get(part.worker());
        Optional<PartReport> report = known.flatMap(w -> find(w, row.record().attemptId(), part.rank()));
        if (report.isPresent() && report.get().state().ended()) {
            return view(report.get().state());
        }
        if (lapsed(part.worker())) {
            return PartView.LAPSED;
        }
        if (report.isPresent()) {
            return view(report.get().state());
        }
        boolean current = board.targets()
                .heardMs(part.worker())
                .filter(h -> clock.nowMs() - h < TargetTable.TARGET_SILENCE_MS)
                .isPresent();
        boolean due = clock.nowMs() - row.seenAtMs() > REPORT_DELAY_MS;
        return known.isPresent() && current && due ? PartView.STOPPED : PartView.UNKNOWN;
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
