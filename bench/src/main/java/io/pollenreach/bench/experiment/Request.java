package io.pollenreach.bench.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A request on its way through a trial. Compared by identity. Not safe for use by many threads. */
final class Request {
    final Workload.RequestKind kind;
    final long id;
    final double sentMs;
    final double lengthMs;
    final Set<String> tried = new HashSet<>();
    boolean behindLong;
    boolean hedged;
    boolean done;
    int copies;
    double deadlineAtMs;

    Request(Workload.RequestKind kind, long id, double sentMs, double lengthMs) {
        this.kind = kind;
        this.id = id;
        this.sentMs = sentMs;
        this.lengthMs = lengthMs;
        this.deadlineAtMs = sentMs + kind.deadlineMs();
    }

    /** Creates the requests of a whole trial in the order of their arrival. */
    static List<Request> all(Workload w, long seed) {
        List<Request> all = new ArrayList<>();
        int slots = w.runners().count() * w.runners().slots();
        long id = 0;
        for (Workload.RequestKind k : w.requests().kinds()) {
            Draws draws = new Draws(seed, k.name());
            double busiest = Math.max(1, k.crestFactor());
            double gapMs = k.meanMs() / (k.load() * slots * busiest);
            for (double t = draws.exponential(gapMs); t < w.requests().durationMs(); t += draws.exponential(gapMs)) {
                double rate = w.requests().crests().at(t) ? k.crestFactor() : 1;
                boolean kept = draws.uniform() < rate / busiest;
                boolean longer = draws.uniform() < w.requests().longRatio();
                double length = draws.logNormal(k.meanMs(), k.sigma())
                        * (longer ? w.requests().longFactor() : 1);
                if (kept) {
                    all.add(new Request(k, id++, t, length));
                }
            }
        }
        all.sort(Comparator.comparingDouble((Request r) -> r.sentMs).thenComparingLong(r -> r.id));
        return all;
    }
}
