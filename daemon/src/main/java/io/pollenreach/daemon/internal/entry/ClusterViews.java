package io.pollenreach.daemon.internal.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.pollenreach.Clock;
import io.pollenreach.JobState;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.placement.ClusterView;
import io.pollenreach.internal.placement.Decision.Place;
import io.pollenreach.internal.placement.Holding;
import io.pollenreach.internal.placement.PlacedJob;
import io.pollenreach.internal.placement.WorkerVerdict;
import io.pollenreach.internal.placement.WorkerView;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.TargetInfo;
import io.pollenreach.internal.wire.TargetKind;

/**
 * Takes snapshots of the cluster for placement from the tables of the blackboard.
 *
 * <p>Safe for use by many threads; it keeps no state.
 */
final class ClusterViews {
    private final Blackboard blackboard;
    private final WorkerExclusions avoidance;
    private final Clock clock;

    ClusterViews(Blackboard blackboard, WorkerExclusions avoidance, Clock clock) {
        this.blackboard = blackboard;
        this.avoidance = avoidance;
        this.clock = clock;
    }

    /** Takes a snapshot in which the placements that are being started hold their accelerators. */
    ClusterView snapshot(Map<String, Place> starting) {
        ConfigSnapshot config = blackboard.config().get();
        Map<String, List<Holding>> holdings = new HashMap<>();
        Map<String, PlacedJob> placed = new HashMap<>();
        long wallMs = clock.wallMs();
        for (JobRow row : blackboard.jobs().list(r -> r.record().state().placed())) {
            addPlaced(row.record(), wallMs, holdings, placed);
        }
        starting.forEach((key, place) -> addStarting(key, place, holdings, placed));
        List<WorkerView> workers = new ArrayList<>();
        Set<String> draining = config.draining();
        for (TargetInfo t : blackboard.targets().live(clock.nowMs())) {
            if (t.kind() == TargetKind.WORKER) {
                workers.add(worker(t, draining, holdings.getOrDefault(t.id(), List.of())));
            }
        }
        return new ClusterView(workers, config.workspaces(), placed);
    }

    /** Returns why live workers take no new parts, by their ids; those that take parts are absent. */
    Map<String, WorkerVerdict> closedWorkers() {
        Set<String> draining = blackboard.config().get().draining();
        Map<String, WorkerVerdict> closed = new HashMap<>();
        for (TargetInfo t : blackboard.targets().live(clock.nowMs())) {
            if (t.draining() || draining.contains(t.id())) {
                closed.put(t.id(), WorkerVerdict.DRAINING);
            } else if (avoidance.isExcluded(t.id())) {
                closed.put(t.id(), WorkerVerdict.START_FAILED);
            }
        }
        return closed;
    }

    private WorkerView worker(TargetInfo t, Set<String> draining, List<Holding> holdings) {
        boolean usable = !t.draining() && !draining.contains(t.id()) && !avoidance.isExcluded(t.id());
        return new WorkerView(
                t.id(),
                t.zone(),
                t.rack(),
                t.address(),
                t.accelerators(),
                usable,
                t.load().recentFailures(),
                holdings);
    }

    private static void addPlaced(
            JobRecord job, long wallMs, Map<String, List<Holding>> holdings, Map<String, PlacedJob> placed) {
        long runningMs = job.startedAtMs() == 0 ? 0 : Math.max(0, wallMs - job.startedAtMs());
        placed.put(job.spec().key(), new PlacedJob(job.spec(), job.borrowed(), runningMs));
        // An attempt that is being stopped can't be reclaimed a second time.
        boolean reclaimable = job.borrowed() && job.state() != JobState.STOPPING;
        for (Part p : job.parts()) {
            Holding h = new Holding(
                    job.attemptId(),
                    job.spec().workspace(),
                    p.accelerators(),
                    reclaimable,
                    job.spec().restartable(),
                    runningMs);
            holdings.computeIfAbsent(p.worker(), w -> new ArrayList<>()).add(h);
        }
    }

    private void addStarting(
            String key, Place place, Map<String, List<Holding>> holdings, Map<String, PlacedJob> placed) {
        JobRow row = blackboard.jobs().get(key).orElse(null);
        if (row == null || row.record().state().placed() || row.record().state().terminal()) {
            return;
        }
        placed.put(key, new PlacedJob(row.record().spec(), place.borrowed(), 0));
        AttemptId id = new AttemptId(key, row.record().attempt() + 1, "");
        for (Part p : place.parts()) {
            // Not reclaimable: only a committed attempt can be reclaimed, not a start in progress.
            Holding h = new Holding(id, row.record().spec().workspace(), p.accelerators(), false, false, 0);
            holdings.computeIfAbsent(p.worker(), w -> new ArrayList<>()).add(h);
        }
    }
}
