package io.pollenreach.daemon.internal.entry;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.pollenreach.Clock;
import io.pollenreach.JobState;
import io.pollenreach.PollenreachException;
import io.pollenreach.Urgency;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.rpc.Rpc;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.JobChanged;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.PartReport;
import io.pollenreach.internal.wire.PartState;
import io.pollenreach.internal.wire.TargetInfo;
import io.pollenreach.internal.wire.WorkerParts;

/**
 * Drives planning and supervision.
 *
 * <p>Invariants: only the entry that the live entries agree on plans and supervises, unless it can't be reached; two that
 * do so at once lose time and nothing else. Planning runs on one thread.
 */
final class JobController {
    static final long POLL_MS = 500;
    static final long TICK_MS = 200;
    private static final long HINT_TIMEOUT_MS = 250;
    /** Without a poll for this long nothing is placed, since no placement could be recorded. */
    private static final long PLAN_WITHOUT_POLL_MS = 3_000;

    /** Rounds take at most one part in 26 of a core, 3.8%, unless urgent work waits. */
    private static final long PACE_RATIO = 25;

    private static final long MAX_PAUSE_MS = 2_000;
    private static final long ORPHAN_GRACE_MS = 1_000;

    private static final Events EVENTS = Events.of(JobController.class);

    private final Blackboard board;
    private final JobStore store;
    private final Planner planner;
    private final Supervisor supervisor;
    private final Gangs gangs;
    private final Rpc rpc;
    private final Clock clock;
    private final ScheduledExecutorService thread;
    private final AtomicBoolean roundDue = new AtomicBoolean();
    private final AtomicBoolean polling = new AtomicBoolean();
    private final Pace pace = new Pace(PACE_RATIO, MAX_PAUSE_MS);
    private volatile long polledMs;

    JobController(
            Blackboard board,
            JobStore store,
            Planner planner,
            Supervisor supervisor,
            Gangs gangs,
            Rpc rpc,
            Clock clock,
            ScheduledExecutorService thread) {
        this.board = board;
        this.store = store;
        this.planner = planner;
        this.supervisor = supervisor;
        this.gangs = gangs;
        this.rpc = rpc;
        this.clock = clock;
        this.thread = thread;
        this.polledMs = clock.nowMs();
    }

    /** Asks for a round soon; many calls make one round. */
    void changed() {
        if (roundDue.compareAndSet(false, true)) {
            thread.execute(() -> round(false));
        }
    }

    /** Runs a round of planning and supervision where this entry is the one to do so. */
    void tick() {
        thread.execute(() -> round(false));
    }

    /** Learns of the rows that changed. */
    void poll() {
        if (!polling.compareAndSet(false, true)) {
            return;
        }
        store.poll().whenComplete((v, t) -> {
            polling.set(false);
            if (t == null) {
                polledMs = clock.nowMs();
                changed();
            }
        });
    }

    /** Sees to it that a job just written is planned at once: by the planner, or here when it can't be reached. */
    void submitted(String key) {
        if (board.entries().plansHere(clock.nowMs())) {
            changed();
            return;
        }
        String planner = board.entries().planner(clock.nowMs());
        rpc.call(planner, new JobChanged(key), HINT_TIMEOUT_MS).whenComplete((m, t) -> {
            if (t != null) {
                EVENTS.warn("planner-unreachable", "planner", planner, "job", key);
                thread.execute(() -> round(true));
            }
        });
    }

    /** Handles a peer's hint that a row changed. */
    void hinted(String key) {
        store.read(key).whenComplete((row, t) -> changed());
    }

    private void round(boolean force) {
        roundDue.set(false);
        boolean mine = board.entries().plansHere(clock.nowMs());
        if (!force && !mine || !board.config().known()) {
            return;
        }
        long startMs = clock.nowMs();
        if (!force && !pace.due(startMs) && !urgentWaits()) {
            return;
        }
        try {
            if (clock.nowMs() - polledMs < PLAN_WITHOUT_POLL_MS) {
                planner.plan();
            }
            board.jobs().list(r -> r.record().state().placed()).forEach(supervisor::step);
            stopOrphans();
        } catch (RuntimeException e) {
            EVENTS.warn("round-failed", "detail", PollenreachException.of(e).getMessage());
        }
        pace.worked(startMs, clock.nowMs());
    }

    private boolean urgentWaits() {
        return !board.jobs().list(JobController::isUrgentWaiting).isEmpty();
    }

    private static boolean isUrgentWaiting(JobRow row) {
        return row.record().state() == JobState.WAITING && row.record().spec().urgency() == Urgency.URGENT;
    }

    /** Stops parts that an agent runs although the job's row has moved on. */
    private void stopOrphans() {
        for (TargetInfo t : board.targets().live(clock.nowMs())) {
            board.parts().get(t.id()).map(WorkerParts::parts).orElse(List.of()).stream()
                    .filter(this::orphan)
                    .forEach(p -> stopOrphan(t, p));
        }
    }

    private boolean orphan(PartReport p) {
        if (p.state() != PartState.RUNNING && p.state() != PartState.PREPARED) {
            return false;
        }
        AttemptId id = p.id();
        return board.jobs()
                .get(id.job())
                .map(JobRow::record)
                .filter(j -> superseded(j, id))
                .isPresent();
    }

    private static boolean superseded(JobRecord job, AttemptId id) {
        if (id.attempt() > job.attempt()) {
            // The row read here may be older than the placement.
            return false;
        }
        return !job.state().placed() || !job.attemptId().equals(id);
    }

    private void stopOrphan(TargetInfo t, PartReport p) {
        EVENTS.info("orphan-stop", "job", p.id().job(), "attempt", p.id().attempt(), "worker", t.id());
        Part part = new Part(p.rank(), t.id(), t.address(), p.accelerators());
        gangs.stop(p.id(), List.of(part), ORPHAN_GRACE_MS);
    }

    /** Starts the periodic work. */
    void start() {
        thread.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        thread.scheduleWithFixedDelay(this::poll, 0, POLL_MS, TimeUnit.MILLISECONDS);
    }
}
