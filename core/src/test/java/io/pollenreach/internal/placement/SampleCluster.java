package io.pollenreach.internal.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.pollenreach.Adjacency;
import io.pollenreach.JobSpec;
import io.pollenreach.Shape;
import io.pollenreach.Urgency;
import io.pollenreach.Workspace;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Part;

/** A small cluster that carries out decisions at once. Not safe for use by many threads. */
final class SampleCluster {
    final Map<String, WorkerView> workers = new LinkedHashMap<>();
    final Map<String, Workspace> workspaces = new HashMap<>();
    final Map<String, PlacedJob> placed = new LinkedHashMap<>();
    final List<WaitingJob> queue = new ArrayList<>();

    SampleCluster workers(int count, int perRack, int accelerators) {
        for (int i = 0; i < count; i++) {
            int rack = i / perRack;
            String id = "w" + i;
            worker(new WorkerView(
                    id, "zone" + rack % 2, "rack" + rack, "127.0.0.1:" + (9000 + i), accelerators, true, 0, List.of()));
        }
        return this;
    }

    SampleCluster worker(WorkerView w) {
        workers.put(w.id(), w);
        return this;
    }

    SampleCluster workspace(String name, int max, Shape... guarantees) {
        workspaces.put(name, new Workspace(name, List.of(guarantees), max, 1, 100, ""));
        return this;
    }

    SampleCluster submit(String workspace, String name, Shape shape, Urgency urgency) {
        return submit(workspace, name, shape, urgency, 0);
    }

    SampleCluster submit(String workspace, String name, Shape shape, Urgency urgency, long waitedMs) {
        queue.add(new WaitingJob(new JobSpec(workspace, name, shape, urgency, 0, true, 3, ""), waitedMs, 0));
        return this;
    }

    /** Lets a job of one part borrow accelerators. */
    SampleCluster holding(String worker, String workspace, String name, int accelerators) {
        Shape shape = new Shape(1, accelerators, Adjacency.ANY);
        JobSpec spec = new JobSpec(workspace, name, shape, Urgency.NORMAL, 0, true, 3, "");
        placed.put(spec.key(), new PlacedJob(spec, true, 0));
        hold(new Part(0, worker, "", accelerators), spec, true);
        return this;
    }

    ClusterView view() {
        return new ClusterView(List.copyOf(workers.values()), workspaces, placed);
    }

    List<Decision> decide(Placer placer) {
        return placer.decide(view(), queue, 1);
    }

    /** Decides, carries out, and returns the decisions by job. */
    Map<String, Decision> run(Placer placer, long seed) {
        Map<String, Decision> byJob = new LinkedHashMap<>();
        for (Decision d : placer.decide(view(), queue, seed)) {
            byJob.put(d.job(), d);
            if (d instanceof Decision.Place) {
                carryOut((Decision.Place) d);
            }
        }
        return byJob;
    }

    private void carryOut(Decision.Place p) {
        p.victims().forEach(v -> end(v.job(), true));
        WaitingJob job = queue.stream()
                .filter(j -> j.spec().key().equals(p.job()))
                .findFirst()
                .orElseThrow();
        queue.remove(job);
        placed.put(p.job(), new PlacedJob(job.spec(), p.borrowed(), 0));
        for (Part part : p.parts()) {
            hold(part, job.spec(), p.borrowed());
        }
    }

    private void hold(Part part, JobSpec spec, boolean borrowed) {
        WorkerView w = workers.get(part.worker());
        List<Holding> holdings = new ArrayList<>(w.holdings());
        holdings.add(new Holding(
                new AttemptId(spec.key(), 1, ""), spec.workspace(), part.accelerators(), borrowed, true, 0));
        workers.put(w.id(), with(w, w.usable(), holdings));
    }

    /** Ends a job; it waits again when it was reclaimed. */
    void end(String job, boolean waitsAgain) {
        PlacedJob p = placed.remove(job);
        if (p == null) {
            return;
        }
        workers.replaceAll((id, w) -> {
            List<Holding> holdings = new ArrayList<>(w.holdings());
            holdings.removeIf(h -> h.id().job().equals(job));
            return with(w, w.usable(), holdings);
        });
        if (waitsAgain) {
            queue.add(new WaitingJob(p.spec(), 0, 0));
        }
    }

    void usable(String worker, boolean usable) {
        workers.computeIfPresent(worker, (id, w) -> with(w, usable, w.holdings()));
    }

    private static WorkerView with(WorkerView w, boolean usable, List<Holding> holdings) {
        return new WorkerView(
                w.id(), w.zone(), w.rack(), w.address(), w.accelerators(), usable, w.recentFailures(), holdings);
    }

    static Shape shape(int parts, int per, Adjacency adjacency) {
        return new Shape(parts, per, adjacency);
    }
}
