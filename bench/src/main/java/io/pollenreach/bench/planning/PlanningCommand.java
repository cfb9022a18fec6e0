package io.pollenreach.bench.planning;

import java.util.List;
import java.util.Locale;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.pollenreach.internal.placement.ClusterView;
import io.pollenreach.internal.placement.Decision;
import io.pollenreach.internal.placement.GuaranteedPlacer;
import io.pollenreach.internal.placement.Placer;
import org.HdrHistogram.Histogram;

/**
 * Prints the time of a round of placement for growing clusters and queues.
 *
 * <p>Not safe for use by many threads.
 */
@Command(name = "planning", description = "Measures the time of a round of placement at growing sizes")
public final class PlanningCommand implements Runnable {
    private static final int WARM_UP_ROUNDS = 5;
    private static final double NS_PER_MS = 1e6;
    private static final int[] WORKERS = {200, 400, 800, 1_600};
    private static final int[] WAITING = {10, 50, 200};

    @Option(name = "--rounds", description = "Rounds for each size")
    private int rounds = 20;

    @Option(name = "--seed", description = "Seed of the synthetic clusters")
    private long seed = 1;

    @Override
    public void run() {
        System.out.println("workers  waiting  placed  p50 ms  p99 ms");
        for (int workers : WORKERS) {
            for (int waiting : WAITING) {
                measure(workers, waiting);
            }
        }
    }

    private void measure(int workers, int waiting) {
        SyntheticCluster cluster = new SyntheticCluster(workers, waiting, seed);
        ClusterView view = cluster.view();
        Placer placer = GuaranteedPlacer.builder().build();
        Histogram times = new Histogram(3);
        long placed = 0;
        for (int i = 0; i < WARM_UP_ROUNDS + rounds; i++) {
            long startNs = System.nanoTime();
            List<Decision> decisions = placer.decide(view, cluster.queue(), i);
            long tookNs = System.nanoTime() - startNs;
            placed = decisions.stream().filter(Decision.Place.class::isInstance).count();
            if (i >= WARM_UP_ROUNDS) {
                times.recordValue(tookNs);
            }
        }
        System.out.printf(
                Locale.ROOT,
                "%7d  %7d  %6d  %6.1f  %6.1f%n",
                workers,
                waiting,
                placed,
                times.getValueAtPercentile(50) / NS_PER_MS,
                times.getValueAtPercentile(99) / NS_PER_MS);
    }
}
