package io.pollenreach.bench.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.pollenreach.Adjacency;
import io.pollenreach.Workspace;
import io.pollenreach.internal.placement.ClusterView;
import io.pollenreach.internal.placement.Decision;
import io.pollenreach.internal.placement.Fragmentation;
import io.pollenreach.internal.placement.PlacedJob;
import io.pollenreach.internal.placement.Placer;
import io.pollenreach.internal.placement.WaitingJob;
import io.pollenreach.internal.placement.WorkerView;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Part;

/**
 * One run of the demand of jobs under one policy.
 *
 * <p>Placement is decided shortly after anything changed and at least every {@link #IDLE_TICK_MS}. A job that is
 * refused as never runnable leaves without being measured; one that has not ended when the trial does counts as
 * complete then. Not safe for use by many threads.
 */
final class JobTrial {
    private static final double TICK_MS = 200;
    private static final double IDLE_TICK_MS = 10_000;
    private static final double SAMPLE_MS = 5_000;
    /** How long a job waits before it counts as held up. */
    private static final double SETTLE_MS = 2_000;

    private static final double START_MS = 300;
    private static final double STOP_MS = 500;
    private static final double SILENCE_MS = 3_000;
    private static final double FAIL_MS = 1_000;
    /** How much longer than jobs arrive a trial lasts. */
    private static final double DRAIN_FACTOR = 3;

    private final Workload workload;
    private final Placer placer;
    private final long seed;
    private final Scenario scenario;
    private final EventLoop loop = new EventLoop();
    private final Map<String, SimWorker> workers = new LinkedHashMap<>();
    private final Map<String, Workspace> workspaces;
    private final Map<String, Job> placed = new LinkedHashMap<>();
    private final Set<Job> waiting = new LinkedHashSet<>();
    private final Figures figures = new Figures();
    private boolean planned;
    private long rounds;

    JobTrial(Workload workload, PolicyVersion version, long seed, Scenario scenario) {
        this.scenario = scenario;
        this.workload = workload;
        this.placer = version.placer();
        this.seed = seed;
        this.workspaces = workload.workspaces().stream().collect(Collectors.toMap(Workspace::name, w -> w));
        for (int i = 0; i < workload.workers().count(); i++) {
            SimWorker w = new SimWorker(i, workload, i < scenario.failingWorkers());
            workers.put(w.id, w);
        }
    }

    /** Runs the trial. */
    Figures run() {
        double endMs = workload.jobs().durationMs() * DRAIN_FACTOR;
        Job.all(workload, seed).forEach(j -> loop.after(j.sentMs, () -> submit(j)));
        for (double t = SAMPLE_MS; t < workload.jobs().durationMs(); t += SAMPLE_MS) {
            loop.after(t, this::sample);
        }
        for (double t = IDLE_TICK_MS; t < endMs; t += IDLE_TICK_MS) {
            loop.after(t, this::plan);
        }
        if (scenario.lostShare() > 0) {
            loop.after(workload.jobs().crests().firstMs(), this::lose);
        }
        loop.runUntil(endMs);
        waiting.forEach(j -> abandon(j, endMs));
        placed.values().forEach(j -> abandon(j, endMs));
        return figures;
    }

    private void submit(Job j) {
        waiting.add(j);
        plan();
    }

    private void plan() {
        if (!planned && !waiting.isEmpty()) {
            planned = true;
            loop.after(TICK_MS, this::decide);
        }
    }

    private void decide() {
        planned = false;
        Map<String, Job> byKey = new LinkedHashMap<>();
        List<WaitingJob> queue = new ArrayList<>();
        for (Job j : waiting) {
            byKey.put(j.spec.key(), j);
            queue.add(new WaitingJob(j.spec, (long) (loop.now() - j.waitingSinceMs), j.lostAttempts));
        }
        for (Decision d : placer.decide(view(), queue, seed + rounds++)) {
            Job j = byKey.get(d.job());
            if (d instanceof Decision.Place) {
                place(j, (Decision.Place) d);
            } else if (d instanceof Decision.Refuse) {
                waiting.remove(j);
            }
        }
    }

    private List<WorkerView> workerViews() {
        return workers.values().stream().map(w -> w.view(loop.now())).collect(Collectors.toList());
    }

    private ClusterView view() {
        Map<String, PlacedJob> jobs = new LinkedHashMap<>();
        placed.forEach((k, j) -> jobs.put(k, new PlacedJob(j.spec, j.borrowed, (long) j.runMs(loop.now()))));
        return new ClusterView(workerViews(), workspaces, jobs);
    }

    private void place(Job j, Decision.Place p) {
        for (AttemptId v : p.victims()) {
            Job victim = placed.get(v.job());
            if (victim != null) {
                stop(victim);
            }
        }
        waiting.remove(j);
        placed.put(j.spec.key(), j);
        j.attempt++;
        j.borrowed = p.borrowed();
        j.parts = p.parts();
        j.startedMs = loop.now() + START_MS + (p.victims().isEmpty() ? 0 : STOP_MS);
        j.parts.forEach(part -> workers.get(part.worker()).hold(j, part));
        int attempt = j.attempt;
        boolean doomed = j.parts.stream().anyMatch(part -> unfit(workers.get(part.worker())));
        if (doomed) {
            loop.after(j.startedMs - loop.now() + FAIL_MS, () -> failed(j, attempt));
            return;
        }
        loop.after(j.startedMs - loop.now(), () -> started(j, attempt));
        loop.after(j.startedMs - loop.now() + j.lengthMs - j.savedMs, () -> finish(j, attempt));
    }

    private static boolean unfit(SimWorker w) {
        return w.failing || !w.alive();
    }

    private void started(Job j, int attempt) {
        if (j.attempt != attempt || j.firstStartMs >= 0) {
            return;
        }
        j.firstStartMs = loop.now();
        measureStart(j, loop.now() - j.sentMs);
    }

    private void measureStart(Job j, double waitedMs) {
        if (j.kind.shortWork()) {
            figures.block(waitedMs, j.kind.meanMs());
        }
        if (j.spec.shape().parts() > 1) {
            figures.gangWait.recordValue((long) waitedMs);
        }
        if (j.kind.startWithinMs() > 0 && workload.jobs().crests().at(j.sentMs)) {
            figures.crest(waitedMs <= j.kind.startWithinMs());
        }
    }

    private void finish(Job j, int attempt) {
        if (j.attempt != attempt || !placed.containsKey(j.spec.key())) {
            return;
        }
        release(j);
        figures.complete(loop.now() - j.sentMs);
        plan();
    }

    private void failed(Job j, int attempt) {
        if (j.attempt != attempt || !placed.containsKey(j.spec.key())) {
            return;
        }
        for (Part part : j.parts) {
            SimWorker w = workers.get(part.worker());
            if (unfit(w)) {
                w.fail(loop.now());
            }
        }
        lostAttempt(j);
    }

    private void lostAttempt(Job j) {
        release(j);
        j.lostAttempts++;
        if (j.lostAttempts >= j.spec.maxAttempts()) {
            abandon(j, workload.jobs().durationMs() * DRAIN_FACTOR);
        } else {
            waitAgain(j);
        }
    }

    /** Stops a borrower; what it did since its last checkpoint is lost. */
    private void stop(Job j) {
        saveCheckpoints(j);
        release(j);
        waitAgain(j);
    }

    private void saveCheckpoints(Job j) {
        double every = workload.jobs().checkpointEveryMs();
        j.savedMs += Math.floor(j.runMs(loop.now()) / every) * every;
    }

    private void release(Job j) {
        placed.remove(j.spec.key());
        j.parts.forEach(part -> workers.get(part.worker()).drop(j));
        j.attempt++;
    }

    private void waitAgain(Job j) {
        j.waitingSinceMs = loop.now();
        waiting.add(j);
        plan();
    }

    private void abandon(Job j, double endMs) {
        figures.unfinished();
        figures.complete(endMs - j.sentMs);
        if (j.firstStartMs < 0) {
            measureStart(j, endMs - j.sentMs);
        }
    }

    private void lose() {
        Draws draws = new Draws(seed, "lost workers");
        int count = (int) Math.ceil(scenario.lostShare() * workers.size());
        int perRack = workload.workers().perRack();
        List<SimWorker> order = new ArrayList<>(workers.values());
        int first = perRack * draws.below(order.size() / perRack);
        List<SimWorker> dying = new ArrayList<>(order.subList(first, first + perRack));
        order.removeAll(dying);
        while (dying.size() < count) {
            dying.add(order.remove(draws.below(order.size())));
        }
        dying.forEach(SimWorker::die);
        loop.after(SILENCE_MS, () -> {
            dying.forEach(SimWorker::lost);
            Set<String> ids = dying.stream().map(w -> w.id).collect(Collectors.toSet());
            List.copyOf(placed.values()).stream()
                    .filter(j -> j.parts.stream().anyMatch(p -> ids.contains(p.worker())))
                    .forEach(this::loseJob);
        });
    }

    private void loseJob(Job j) {
        saveCheckpoints(j);
        lostAttempt(j);
    }

    private void sample() {
        Fragmentation f = Fragmentation.of(
                workerViews(), Adjacency.RACK, workload.workers().accelerators());
        int all = workload.workers().count() * workload.workers().accelerators();
        boolean starved = waiting.stream().anyMatch(j -> starved(j, f.freeAccelerators()));
        figures.room(f, waiting.isEmpty() ? 0 : (double) f.freeAccelerators() / all, starved);
    }

    /** Tells whether a gang has waited for a while that the free accelerators would hold, and its workspace may use. */
    private boolean starved(Job j, int free) {
        String workspace = j.spec.workspace();
        int used = placed.values().stream()
                .filter(p -> p.spec.workspace().equals(workspace))
                .mapToInt(p -> p.spec.shape().accelerators())
                .sum();
        int needed = j.spec.shape().accelerators();
        return j.spec.shape().parts() > 1
                && loop.now() - j.waitingSinceMs > SETTLE_MS
                && needed <= free
                && used + needed <= workspaces.get(workspace).maxAccelerators();
    }
}
