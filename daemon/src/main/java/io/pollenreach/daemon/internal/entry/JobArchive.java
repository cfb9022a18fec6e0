package io.pollenreach.daemon.internal.entry;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.daemon.internal.log.Events;

/**
 * Moves jobs that ended a while ago out of the table that every entry keeps in memory.
 *
 * <p>Invariant: a job's row is in table {@code jobs} or in table {@code ended}, never in both, since one transaction moves
 * it; so its name stays taken. Safe for use by many threads.
 */
final class JobArchive {
    static final long PERIOD_MS = 10_000;
    /** How long a job that has ended stays in memory, in milliseconds. */
    static final long KEEP_MS = 3_600_000;
    /** Bounds the writes of one round; 50 in 10 s are many times the 3,200 jobs of a day. */
    static final int MAX_MOVES = 50;

    private static final Events EVENTS = Events.of(JobArchive.class);

    private final Blackboard board;
    private final JobStore store;
    private final Clock clock;
    private final AtomicBoolean moving = new AtomicBoolean();

    JobArchive(Blackboard board, JobStore store, Clock clock) {
        this.board = board;
        this.store = store;
        this.clock = clock;
    }

    /** Moves some of the jobs that are due, when this entry is the planner and the last round is over. */
    void sweep() {
        if (!board.entries().plansHere(clock.nowMs()) || !moving.compareAndSet(false, true)) {
            return;
        }
        long before = clock.wallMs() - KEEP_MS;
        List<JobRow> due =
                board
                        .jobs()
                        .list(r -> r.record().state().terminal() && r.record().endedAtMs() < before)
                        .stream()
                        .sorted(Comparator.comparingLong(r -> r.record().endedAtMs()))
                        .limit(MAX_MOVES)
                        .toList();
        move(due, 0);
    }

    private void move(List<JobRow> due, int i) {
        if (i == due.size()) {
            moving.set(false);
            return;
        }
        store.archive(due.get(i)).whenComplete((v, t) -> {
            if (t == null) {
                move(due, i + 1);
                return;
            }
            EVENTS.warn(
                    "archive-failed",
                    "job",
                    due.get(i).key(),
                    "code",
                    PollenreachException.of(t).code().number());
            moving.set(false);
        });
    }
}
