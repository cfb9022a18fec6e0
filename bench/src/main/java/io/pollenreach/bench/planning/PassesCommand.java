package io.pollenreach.bench.planning;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Locale;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.HdrHistogram.Histogram;

/**
 * Prints the processor time of a pass of the batch scheduler, for growing numbers of workers and tasks.
 *
 * <p>Before each pass one run ends; before each fourth an urgent job arrives. Not safe for use by many threads.
 */
@Command(name = "passes", description = "Measures passes of the batch scheduler at growing sizes")
public final class PassesCommand implements Runnable {
    private static final int WARM_UP_PASSES = 20;
    private static final int URGENT_EVERY = 4;
    private static final double NS_PER_MS = 1e6;
    private static final int[][] WORKERS_AND_TASKS = {{15, 100}, {80, 400}, {80, 2_000}, {300, 8_000}, {1_600, 40_000}};

    @Option(name = "--passes", description = "Passes for each size")
    private int passes = 60;

    @Option(name = "--seed", description = "Seed of the synthetic load")
    private long seed = 1;

    @Override
    public void run() {
        System.out.println("workers    tasks  p50 ms  p99 ms  rows a pass");
        for (int[] size : WORKERS_AND_TASKS) {
            measure(size[0], size[1]);
        }
    }

    private void measure(int workers, int tasks) {
        SyntheticBatch batch = new SyntheticBatch(workers, tasks, seed);
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        Histogram times = new Histogram(3);
        long rows = 0;
        for (int i = 0; i < WARM_UP_PASSES + passes; i++) {
            batch.endOneRun();
            if (i % URGENT_EVERY == 0) {
                batch.submitUrgent();
            }
            long startNs = threads.getCurrentThreadCpuTime();
            batch.plan();
            long tookNs = threads.getCurrentThreadCpuTime() - startNs;
            int stored = batch.store();
            if (i >= WARM_UP_PASSES) {
                times.recordValue(tookNs);
                rows += stored;
            }
        }
        System.out.printf(
                Locale.ROOT,
                "%7d  %7d  %6.1f  %6.1f  %11.1f%n",
                workers,
                tasks,
                times.getValueAtPercentile(50) / NS_PER_MS,
                times.getValueAtPercentile(99) / NS_PER_MS,
                (double) rows / passes);
    }
}
