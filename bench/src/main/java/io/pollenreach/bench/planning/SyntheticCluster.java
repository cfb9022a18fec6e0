package io.pollenreach.bench.planning;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.pollenreach.Adjacency;
import io.pollenreach.JobSpec;
import io.pollenreach.Shape;
import io.pollenreach.Urgency;
import io.pollenreach.Workspace;
import io.pollenreach.internal.placement.ClusterView;
import io.pollenreach.internal.placement.Holding;
import io.pollenreach.internal.placement.PlacedJob;
import io.pollenreach.internal.placement.WaitingJob;
import io.pollenreach.internal.placement.WorkerView;
import io.pollenreach.internal.wire.AttemptId;

/**
 * A cluster in which nine tenths of the accelerators are held, half of them by borrowers, with a queue of gangs.
 *
 * <p>Immutable once built.
 */
final class SyntheticCluster {
    private static final int TEAMS = 140;
    private static final int ZONES = 8;
    private static final int WORKERS_IN_RACK = 3;
    private static final int ACCELERATORS = 8;
    private static final int HALF = 4;
    private static final double HELD = 0.9;
    private static final int MAX_PARTS = 8;
    private static final long HOUR_MS = 3_600_000;

    private final Random random;
    private final Map<String, Workspace> workspaces = new HashMap<>();
    private final Map<String, PlacedJob> placed = new HashMap<>();
    private final List<WorkerView> workers = new ArrayList<>();
    private final List<WaitingJob> queue = new ArrayList<>();

    SyntheticCluster(int workerCount, int waiting, long seed) {
        random = new Random(seed);
        for (int i = 0; i < TEAMS; i++) {
            addWorkspace(i, workerCount);
        }
        for (int i = 0; i < workerCount; i++) {
            addWorker(i);
        }
        for (int i = 0; i < waiting; i++) {
            addWaiting(i);
        }
    }

    ClusterView view() {
        return new ClusterView(workers, workspaces, placed);
    }

    List<WaitingJob> queue() {
        return queue;
    }

    private void addWorkspace(int i, int workerCount) {
        int parts = Math.max(1, workerCount / TEAMS / 2);
        List<Shape> guarantees = List.of(new Shape(parts, ACCELERATORS, Adjacency.ZONE));
        String name = "team-" + i;
        workspaces.put(name, new Workspace(name, guarantees, workerCount * ACCELERATORS, 100, 100, "hash"));
    }

    private void addWorker(int i) {
        String zone = "zone-" + i % ZONES;
        String rack = "rack-" + i / ZONES / WORKERS_IN_RACK;
        List<Holding> holdings = new ArrayList<>();
        for (int k = 0; k < ACCELERATORS / HALF; k++) {
            if (random.nextDouble() < HELD) {
                holdings.add(holding(i * 2 + k));
            }
        }
        workers.add(new WorkerView("w" + i, zone, rack, "10.0.0.1:1", ACCELERATORS, true, 0, holdings));
    }

    private Holding holding(int n) {
        String team = "team-" + random.nextInt(TEAMS);
        JobSpec spec = spec(team, "held-" + n, new Shape(1, HALF, Adjacency.ANY), Urgency.NORMAL);
        boolean borrowed = random.nextBoolean();
        long runningMs = random.nextInt((int) HOUR_MS);
        placed.put(spec.key(), new PlacedJob(spec, borrowed, runningMs));
        return new Holding(new AttemptId(spec.key(), 1, "n"), team, HALF, borrowed, true, runningMs);
    }

    private void addWaiting(int i) {
        int parts = 1 + random.nextInt(MAX_PARTS);
        Shape shape = new Shape(parts, ACCELERATORS, Adjacency.ZONE);
        Urgency urgency = Urgency.values()[random.nextInt(Urgency.values().length)];
        JobSpec spec = spec("team-" + random.nextInt(TEAMS), "waiting-" + i, shape, urgency);
        queue.add(new WaitingJob(spec, random.nextInt((int) HOUR_MS), 0));
    }

    private static JobSpec spec(String team, String name, Shape shape, Urgency urgency) {
        return new JobSpec(team, name, shape, urgency, HOUR_MS, true, 3, "hang");
    }
}
