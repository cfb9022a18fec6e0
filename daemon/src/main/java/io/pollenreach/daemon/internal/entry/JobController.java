package io.pollenreach.daemon.internal.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.pollenreach.Clock;
import io.pollenreach.JobSpec;
import io.pollenreach.JobState;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.Urgency;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.rpc.Rpc;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.placement.Decision;
import io.pollenreach.internal.placement.PlacementPreview;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.JobChanged;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.PartReport;
import io.pollenreach.internal.wire.PartState;
import io.pollenreach.internal.wire.TargetInfo;
import io.pollenreach.internal.wire.WorkerParts;

/**
 * Runs the cycles of planning and supervision, and polls the stored rows of jobs.
 *
 * <p>Invariants: only the planner, the entry that the live entries agree on, plans and supervises, unless it can't be
 * reached; two entries that do so at the same time waste time but do no harm. Planning runs on one thread.
 */
final class JobController {
    static final long POLL_INTERVAL_MS = 500;
    static final long CYCLE_INTERVAL_MS = 200;
    private static final long NOTIFY_TIMEOUT_MS = 250;
    /** Nothing is placed if the last successful poll is older than this, since no placement could be recorded. */
    private static final long MAX_POLL_AGE_MS = 3_000;

    /** Idle time per working time: cycles use at most 1/26 of a core, 3.8%, unless urgent work waits. */
    private static final long IDLE_TO_WORK_RATIO = 25;

    private static final long MAX_PAUSE_MS = 2_000;
    private static final long ORPHAN_GRACE_MS = 1_000;

    private static final Events EVENTS = Events.of(JobController.class);

    private final Blackboard blackboard;
    private final JobStore store;
    private final Planner planner;
    private final Supervisor supervisor;
    private final GangClient gangs;
    private final Rpc rpc;
    private final Clock clock;
    private final ScheduledExecutorService executor;
    private final AtomicBoolean cycleRequested = new AtomicBoolean();
    private final AtomicBoolean polling = new AtomicBoolean();
    private final DutyCycleLimiter cycleLimiter = new DutyCycleLimiter(IDLE_TO_WORK_RATIO, MAX_PAUSE_MS);
    private volatile long lastPollMs;

    JobController(
            Blackboard blackboard,
            JobStore store,
            Planner planner,
            Supervisor supervisor,
            GangClient gangs,
            Rpc rpc,
            Clock clock,
            ScheduledExecutorService executor) {
        this.blackboard = blackboard;
        this.store = store;
        this.planner = planner;
        this.supervisor = supervisor;
        this.gangs = gangs;
        this.rpc = rpc;
        this.clock = clock;
        this.executor = executor;
        this.lastPollMs = clock.nowMs();
    }

    /** Requests a cycle soon; calls before it starts share one cycle. */
    void requestCycle() {
        if (cycleRequested.compareAndSet(false, true)) {
            executor.execute(() -> runCycle(false));
        }
    }

    /** Queues a cycle of planning and supervision, which does nothing unless this entry is the planner. */
    void queueCycle() {
        executor.execute(() -> runCycle(false));
    }

    /** Reads the rows that changed since the last poll, unless a poll is in progress. */
    void poll() {
        if (!polling.compareAndSet(false, true)) {
            return;
        }
        store.poll().whenComplete((v, t) -> {
            polling.set(false);
            if (t == null) {
                lastPollMs = clock.nowMs();
                requestCycle();
            }
        });
    }

    /**
     * Has a job that was just written planned at once: by the planner, or by this entry if the planner is unreachable.
     */
    void notifyPlanner(String key) {
        if (blackboard.entries().plansHere(clock.nowMs())) {
            requestCycle();
            return;
        }
        String planner = blackboard.entries().planner(clock.nowMs());
        rpc.call(planner, new JobChanged(key), NOTIFY_TIMEOUT_MS).whenComplete((m, t) -> {
            if (t != null) {
                EVENTS.warn("planner-unreachable", "planner", planner, "job", key);
                executor.execute(() -> runCycle(true));
            }
        });
    }

    /** Handles a peer's notice that the row of a job changed. */
    void handleHint(String key) {
        store.read(key).whenComplete((row, t) -> requestCycle());
    }

    private void runCycle(boolean force) {
        cycleRequested.set(false);
        boolean isPlanner = blackboard.entries().plansHere(clock.nowMs());
        if (!force && !isPlanner || !blackboard.config().known()) {
            return;
        }
        long startMs = clock.nowMs();
        if (!force && !cycleLimiter.isDue(startMs) && !hasUrgentWaiting()) {
            return;
        }
        try {
            if (placesJobs()) {
                planner.plan();
            }
            blackboard.jobs().list(r -> r.record().state().placed()).forEach(supervisor::supervise);
            stopOrphans();
        } catch (RuntimeException e) {
            EVENTS.warn(
                    "planning-cycle-failed",
                    "detail",
                    PollenreachException.of(e).getMessage());
        }
        cycleLimiter.recordWork(startMs, clock.nowMs());
    }

    /** Tells whether the rows of jobs were read lately enough to place jobs. */
    private boolean placesJobs() {
        return pollAgeMs() < MAX_POLL_AGE_MS;
    }

    /** Returns how long ago the rows of jobs were read, in milliseconds. */
    long pollAgeMs() {
        return clock.nowMs() - lastPollMs;
    }

    /** Tells what a cycle that ran now would decide about a job, without any effect. */
    PlacementPreview preview(JobSpec spec) {
        if (!placesJobs()) {
            String reason = "no job is placed, because the rows of jobs were read " + pollAgeMs() + " ms ago";
            return PlacementPreview.withoutRound(new Decision.Wait(spec.key(), reason));
        }
        return planner.preview(spec);
    }

    /** Tells whether this entry is starting a job. */
    boolean isStarting(String key) {
        return planner.isStarting(key);
    }

    /** Returns after how many milliseconds at the earliest a job ends for which a round decides a refusal. */
    long refusalDelayMs(ResultCode code, Optional<JobRow> row) {
        return planner.refusalDelayMs(code, row);
    }

    private boolean hasUrgentWaiting() {
        return !blackboard.jobs().list(JobController::isUrgentWaiting).isEmpty();
    }

    private static boolean isUrgentWaiting(JobRow row) {
        return row.record().state() == JobState.WAITING && row.record().spec().urgency() == Urgency.URGENT;
    }

    /** Stops parts that an agent still runs although the job's row no longer names their attempt as placed. */
    private void stopOrphans() {
        for (TargetInfo t : blackboard.targets().live(clock.nowMs())) {
            blackboard.parts().get(t.id()).map(WorkerParts::parts).orElse(List.of()).stream()
                    .filter(this::isOrphan)
                    .forEach(p -> stopOrphan(t, p));
        }
    }

    private boolean isOrphan(PartReport p) {
        if (p.state() != PartState.RUNNING && p.state() != PartState.PREPARED) {
            return false;
        }
        AttemptId id = p.id();
        return blackboard
                .jobs()
                .get(id.job())
                .map(JobRow::record)
                .filter(j -> isSuperseded(j, id))
                .isPresent();
    }

    private static boolean isSuperseded(JobRecord job, AttemptId id) {
        if (id.attempt() > job.attempt()) {
            // The row known here may be older than the placement of this attempt.
            return false;
        }
        return !job.state().placed() || !job.attemptId().equals(id);
    }

    private void stopOrphan(TargetInfo t, PartReport p) {
        EVENTS.info("orphan-stop", "job", p.id().job(), "attempt", p.id().attempt(), "worker", t.id());
        Part part = new Part(p.rank(), t.id(), t.address(), p.accelerators());
        gangs.stop(p.id(), List.of(part), ORPHAN_GRACE_MS);
    }

    /** Starts the periodic cycles and polls. */
    void start() {
        executor.scheduleWithFixedDelay(this::queueCycle, CYCLE_INTERVAL_MS, CYCLE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        executor.scheduleWithFixedDelay(this::poll, 0, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
}
