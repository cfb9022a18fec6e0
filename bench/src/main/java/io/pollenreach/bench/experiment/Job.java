package io.pollenreach.bench.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.pollenreach.JobSpec;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Part;

/** A job on its way through a trial. Compared by identity. Not safe for use by many threads. */
final class Job {
    final Workload.JobKind kind;
    final JobSpec spec;
    final double sentMs;
    final double lengthMs;
    double waitingSinceMs;
    double firstStartMs = -1;
    double savedMs;
    double startedMs;
    int attempt;
    int lostAttempts;
    boolean borrowed;
    boolean placed;
    List<Part> parts = List.of();

    Job(Workload.JobKind kind, JobSpec spec, double sentMs, double lengthMs) {
        this.kind = kind;
        this.spec = spec;
        this.sentMs = sentMs;
        this.lengthMs = lengthMs;
        this.waitingSinceMs = sentMs;
    }

    AttemptId attemptId() {
        return new AttemptId(spec.key(), attempt, "");
    }

    /** Returns work that has been done by now, of the attempt that runs. */
    double runMs(double nowMs) {
        return Math.max(0, nowMs - startedMs);
    }

    /** Creates the jobs of a whole trial in the order of their submission. */
    static List<Job> all(Workload w, long seed) {
        List<Job> all = new ArrayList<>();
        int accelerators = w.workers().count() * w.workers().accelerators();
        for (Workload.JobKind k : w.jobs().kinds()) {
            Draws draws = new Draws(seed, k.name());
            double busiest = Math.max(1, k.crestFactor());
            double gapMs = k.meanMs() * k.shape().accelerators() / (k.load() * accelerators * busiest);
            int number = 0;
            for (double t = draws.exponential(gapMs); t < w.jobs().durationMs(); t += draws.exponential(gapMs)) {
                double rate = w.jobs().crests().at(t) ? k.crestFactor() : 1;
                boolean kept = draws.uniform() < rate / busiest;
                boolean longer = draws.uniform() < w.jobs().longRatio();
                double length = draws.logNormal(k.meanMs(), k.sigma())
                        * (longer ? w.jobs().longFactor() : 1);
                double declared = length * Math.pow(k.declaredFactor(), 2 * draws.uniform() - 1);
                if (kept) {
                    all.add(new Job(
                            k, spec(k, number++, (long) declared, w.jobs().maxAttempts()), t, length));
                }
            }
        }
        all.sort(Comparator.comparingDouble((Job j) -> j.sentMs).thenComparing(j -> j.spec.key()));
        return all;
    }

    private static JobSpec spec(Workload.JobKind k, int number, long declaredMs, int maxAttempts) {
        return new JobSpec(
                k.workspace(), k.name() + "-" + number, k.shape(), k.urgency(), declaredMs, true, maxAttempts, "");
    }
}
