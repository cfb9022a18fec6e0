package io.pollenreach.bench.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One run of the demand of requests under one policy.
 *
 * <p>A client sends to a random entry, waits for its answer however late it comes, and sends a refused request again
 * after a pause. A request without an answer after {@link #GIVE_UP_MS} counts as complete then. Not safe for use by
 * many threads.
 */
final class RequestTrial {
    /** How long a client waits for an answer at most. */
    static final double GIVE_UP_MS = 30_000;

    private static final double RESEND_PAUSE_MS = 500;
    private static final double BROKEN_AFTER_MS = 200;
    private static final double SILENCE_MS = 1_000;

    private final Workload workload;
    private final EventLoop loop = new EventLoop();
    private final Network network;
    private final Draws clients;
    private final Map<String, SimRunner> runners = new LinkedHashMap<>();
    private final List<SimEntry> entries = new ArrayList<>();
    private final Figures figures = new Figures();

    RequestTrial(Workload workload, PolicyVersion version, long seed) {
        this.workload = workload;
        this.network = new Network(loop, workload.links(), seed);
        this.clients = new Draws(seed, "clients");
        for (int i = 0; i < workload.runners().count(); i++) {
            SimRunner r = new SimRunner(i, workload, loop, seed);
            runners.put(r.id, r);
        }
        for (int i = 0; i < workload.runners().entries(); i++) {
            entries.add(new SimEntry(workload.zones().get(i % workload.zones().size()), this, version));
        }
    }

    /**
     * Runs the trial.
     *
     * @param lostShare the share of runners that fail when the first crest starts
     */
    Figures run(long seed, double lostShare) {
        for (Request r : Request.all(workload, seed)) {
            loop.after(r.sentMs, () -> submit(r));
        }
        runners.values()
                .forEach(r -> loop.after(clients.uniform() * workload.runners().reportEveryMs(), () -> report(r)));
        if (lostShare > 0) {
            loop.after(workload.requests().crests().firstMs(), () -> lose(lostShare, new Draws(seed, "lost runners")));
        }
        loop.runUntil(workload.requests().durationMs() + GIVE_UP_MS);
        return figures;
    }

    Workload workload() {
        return workload;
    }

    EventLoop loop() {
        return loop;
    }

    Network network() {
        return network;
    }

    Iterable<SimRunner> runners() {
        return runners.values();
    }

    SimRunner runner(String id) {
        return runners.get(id);
    }

    /** Tells whether any runner serves long work. */
    boolean longPresent() {
        return runners.values().stream().anyMatch(r -> r.longInService() > 0);
    }

    private void submit(Request r) {
        loop.after(r.sentMs + GIVE_UP_MS - loop.now(), () -> giveUp(r));
        toEntry(r);
    }

    private void toEntry(Request r) {
        SimEntry entry = entries.get(clients.below(entries.size()));
        network.toClient(() -> entry.arrive(r));
    }

    private void report(SimRunner r) {
        if (!r.alive()) {
            return;
        }
        int inUse = r.inUse();
        int queued = r.queued();
        double mean = r.meanServiceMs();
        entries.forEach(e -> network.send(r.zone, e.zone, () -> e.report(r, inUse, queued, mean)));
        if (loop.now() < workload.requests().durationMs() + GIVE_UP_MS) {
            loop.after(workload.runners().reportEveryMs(), () -> report(r));
        }
    }

    private void lose(double share, Draws draws) {
        List<SimRunner> left = new ArrayList<>(runners.values());
        int count = (int) Math.ceil(share * left.size());
        for (int i = 0; i < count; i++) {
            SimRunner r = left.remove(draws.below(left.size()));
            r.die().forEach(a -> loop.after(BROKEN_AFTER_MS, () -> a.entry.broken(a)));
            loop.after(SILENCE_MS, () -> entries.forEach(e -> e.lost(r)));
        }
    }

    /** Hands an attempt to its runner. */
    void deliver(Attempt a) {
        if (!a.runner.alive()) {
            loop.after(BROKEN_AFTER_MS, () -> a.entry.broken(a));
        } else if (!a.runner.accept(a)) {
            network.send(a.runner.zone, a.entry.zone, () -> a.entry.turnedAway(a));
        }
    }

    /** Passes an answer on to the client; only the first counts. */
    void answered(Attempt a) {
        Request r = a.request;
        if (r.done) {
            return;
        }
        r.done = true;
        if (r.kind.shortWork() && r.behindLong) {
            figures.block(a.startedMs - r.sentMs, r.kind.meanMs());
        }
        network.toClient(() -> complete(r, loop.now()));
    }

    private void complete(Request r, double atMs) {
        figures.complete(atMs - r.sentMs);
        if (workload.requests().crests().at(r.sentMs)) {
            figures.crest(atMs - r.sentMs <= r.kind.deadlineMs());
        }
    }

    /** Tells the client that its request did not run; it sends it again. */
    void refused(Request r) {
        if (r.done) {
            return;
        }
        loop.after(RESEND_PAUSE_MS * (0.5 + clients.uniform()), () -> {
            r.tried.clear();
            r.copies = 0;
            r.deadlineAtMs = loop.now() + r.kind.deadlineMs();
            toEntry(r);
        });
    }

    /** Tells the client that nobody knows whether its request ran; it does not send it again. */
    void unknown(Request r) {
        giveUp(r);
    }

    private void giveUp(Request r) {
        if (r.done) {
            return;
        }
        r.done = true;
        figures.unfinished();
        if (r.kind.shortWork() && r.behindLong) {
            figures.block(GIVE_UP_MS, r.kind.meanMs());
        }
        complete(r, r.sentMs + GIVE_UP_MS);
    }
}
