package io.pollenreach.daemon.internal.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import io.pollenreach.Clock;
import io.pollenreach.JobSpec;
import io.pollenreach.JobState;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.placement.ClusterView;
import io.pollenreach.internal.placement.Decision;
import io.pollenreach.internal.placement.Decision.Place;
import io.pollenreach.internal.placement.Decision.Refuse;
import io.pollenreach.internal.placement.Decision.Wait;
import io.pollenreach.internal.placement.GuaranteedPlacer;
import io.pollenreach.internal.placement.PlacementPreview;
import io.pollenreach.internal.placement.WaitingJob;

/**
 * Decides about waiting jobs and starts those that can be placed.
 *
 * <p>Invariant: a job that this entry is starting is not placed a second time, and its accelerators count as in use.
 * {@link #plan()} must be called by one thread at a time; starts complete on any thread.
 */
final class Planner {
    /** How long an entry must have known a job and listened to workers before it may end it as never runnable, in milliseconds. */
    static final long NEVER_RUNNABLE_AFTER_MS = 20_000;

    private static final Events EVENTS = Events.of(Planner.class);

    private final Blackboard blackboard;
    private final GuaranteedPlacer placer;
    private final ClusterViews views;
    private final GangStarter starter;
    private final JobStore store;
    private final Clock clock;
    private final Runnable requestCycle;
    private final Map<String, Place> starting = new ConcurrentHashMap<>();
    private final Map<String, String> lastLoggedReasons = new HashMap<>();
    private volatile long seed;

    Planner(
            Blackboard blackboard,
            GuaranteedPlacer placer,
            ClusterViews views,
            GangStarter starter,
            JobStore store,
            Clock clock,
            Runnable requestCycle) {
        this.blackboard = blackboard;
        this.placer = placer;
        this.views = views;
        this.starter = starter;
        this.store = store;
        this.clock = clock;
        this.requestCycle = requestCycle;
    }

    /** Decides about all waiting jobs that are not being started, and carries the decisions out. */
    void plan() {
        Map<String, JobRow> rows = waitingRows();
        lastLoggedReasons.keySet().retainAll(rows.keySet());
        if (rows.isEmpty()) {
            return;
        }
        ClusterView view = views.snapshot(starting);
        long next = seed + 1;
        seed = next;
        for (Decision d : placer.decide(view, queue(rows), next)) {
            apply(d, rows.get(d.job()));
        }
    }

    /**
     * Tells what the next call of {@link #plan()} would decide about a job if it began now, without any effect. May be
     * called by any thread.
     *
     * @param spec the job; if it does not wait, it is decided on like one that has just been submitted
     */
    PlacementPreview preview(JobSpec spec) {
        Map<String, JobRow> rows = waitingRows();
        List<WaitingJob> queue = new ArrayList<>(queue(rows));
        if (!rows.containsKey(spec.key())) {
            queue.add(new WaitingJob(spec, 0, 0));
        }
        return placer.preview(views.snapshot(starting), queue, spec.key(), views.closedWorkers(), seed + 1);
    }

    /** Tells whether this entry is starting a job. */
    boolean isStarting(String key) {
        return starting.containsKey(key);
    }

    private Map<String, JobRow> waitingRows() {
        Map<String, JobRow> rows = new HashMap<>();
        blackboard.jobs().list(r -> r.record().state() == JobState.WAITING).stream()
                .filter(r -> !starting.containsKey(r.key()))
                .forEach(r -> rows.put(r.key(), r));
        return rows;
    }

    private List<WaitingJob> queue(Map<String, JobRow> rows) {
        long wallMs = clock.wallMs();
        return rows.values().stream().map(r -> waitingJob(r.record(), wallMs)).toList();
    }

    private static WaitingJob waitingJob(JobRecord job, long wallMs) {
        return new WaitingJob(job.spec(), Math.max(0, wallMs - job.waitingSinceMs()), job.lostAttempts());
    }

    private void apply(Decision d, JobRow row) {
        if (d instanceof Place) {
            place((Place) d, row);
        } else if (d instanceof Wait) {
            logOnce(d, "wait", ResultCode.NO_CAPACITY);
        } else {
            refuse((Refuse) d, row);
        }
    }

    private void place(Place place, JobRow row) {
        EVENTS.info(
                "placement",
                "job",
                place.job(),
                "attempt",
                row.record().attempt() + 1,
                "workers",
                place.parts().stream()
                        .map(p -> p.worker() + ":" + p.accelerators())
                        .toList(),
                "victims",
                place.victims().stream().map(v -> v.job()).toList(),
                "borrowed",
                place.borrowed(),
                "reason",
                place.reason());
        starting.put(row.key(), place);
        starter.start(row, place).whenComplete((v, t) -> {
            starting.remove(row.key());
            if (t != null) {
                EVENTS.warn(
                        "start-failed",
                        "job",
                        row.key(),
                        "detail",
                        PollenreachException.of(t).getMessage());
            }
            requestCycle.run();
        });
    }

    private void refuse(Refuse refuse, JobRow row) {
        boolean confirmed = refusalDelayMs(refuse.code(), Optional.of(row)) == 0;
        logOnce(refuse, confirmed ? "refuse" : "refuse-later", refuse.code());
        if (!confirmed) {
            return;
        }
        long wallMs = clock.wallMs();
        store.update(row, j -> j.refuse(refuse.code(), refuse.reason(), wallMs))
                .whenComplete((r, t) -> requestCycle.run());
    }

    /**
     * Returns after how many milliseconds at the earliest a job is ended for which the placer decides a refusal.
     *
     * @param row the job, if it is known; one that is submitted now is not
     */
    long refusalDelayMs(ResultCode code, Optional<JobRow> row) {
        if (code != ResultCode.NEVER_RUNNABLE) {
            return 0;
        }
        long nowMs = clock.nowMs();
        long knownForMs =
                row.map(r -> blackboard.listenedMs(r.seenAtMs(), nowMs)).orElse(0L);
        return Math.max(0, NEVER_RUNNABLE_AFTER_MS + 1 - knownForMs);
    }

    private void logOnce(Decision d, String kind, ResultCode code) {
        if (!d.reason().equals(lastLoggedReasons.put(d.job(), d.reason()))) {
            EVENTS.info("placement", "job", d.job(), "decision", kind, "code", code.number(), "reason", d.reason());
        }
    }
}
