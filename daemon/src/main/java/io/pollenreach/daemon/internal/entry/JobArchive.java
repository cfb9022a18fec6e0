package io.pollenreach.daemon.internal.entry;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.daemon.internal.log.Events;

/**
 * Moves jobs that ended more than {@link #RETENTION_MS} ago out of the table that every entry keeps in memory.
 *
 * <p>Invariant: a job's row is in table {@code jobs} or in table {@code ended}, never in both, since one transaction
 * moves it; so its name can't be used again. Safe for use by many threads.
 */
final class JobArchive {
    static final long INTERVAL_MS = 10_000;
    /** How long an ended job stays in memory, in milliseconds. */
    static final long RETENTION_MS = 3_600_000;
    /** Limits the writes of one run; 50 in 10 s are many times the 3,200 jobs expected in a day. */
    static final int MAX_MOVES_PER_RUN = 50;

    private static final Events EVENTS = Events.of(JobArchive.class);

    private final Blackboard blackboard;
    private final JobStore store;
    private final Clock clock;
    private final AtomicBoolean inProgress = new AtomicBoolean();

    JobArchive(Blackboard blackboard, JobStore store, Clock clock) {
        this.blackboard = blackboard;
        this.store = store;
        this.clock = clock;
    }

    /** Moves the oldest due jobs, if this entry is the planner and the last run has finished. */
    void archiveDue() {
        if (!blackboard.entries().plansHere(clock.nowMs()) || !inProgress.compareAndSet(false, true)) {
            return;
        }
        long endedBeforeMs = clock.wallMs() - RETENTION_MS;
        List<JobRow> due =
                blackboard
                        .jobs()
                        .list(r -> r.record().state().terminal() && r.record().endedAtMs() < endedBeforeMs)
                        .stream()
                        .sorted(Comparator.comparingLong(r -> r.record().endedAtMs()))
                        .limit(MAX_MOVES_PER_RUN)
                        .toList();
        move(due, 0);
    }

    private void move(List<JobRow> due, int index) {
        if (index == due.size()) {
            inProgress.set(false);
            return;
        }
        store.archive(due.get(index)).whenComplete((v, t) -> {
            if (t == null) {
                move(due, index + 1);
                return;
            }
            EVENTS.warn(
                    "archive-failed",
                    "job",
                    due.get(index).key(),
                    "code",
                    PollenreachException.of(t).code().number());
            inProgress.set(false);
        });
    }
}
