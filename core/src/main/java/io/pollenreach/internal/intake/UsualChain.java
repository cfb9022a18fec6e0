package io.pollenreach.internal.intake;

import java.util.OptionalDouble;

/**
 * The average of the longest chains of one queue's jobs, by their own estimates; recent jobs count more.
 *
 * <p>Invariant: no average is told before enough jobs were seen. Not thread-safe: used under its owner's lock.
 */
final class UsualChain {
    /** Jobs that are needed for an average; estimates of single jobs are off by several times. */
    private static final int MIN_JOBS = 8;

    /** Jobs over which the average is taken, about. */
    private static final int WINDOW = 50;

    private int jobs;
    private double averageMs;

    void add(double chainMs) {
        jobs = Math.min(WINDOW, jobs + 1);
        averageMs += (chainMs - averageMs) / jobs;
    }

    OptionalDouble ms() {
        return jobs < MIN_JOBS ? OptionalDouble.empty() : OptionalDouble.of(averageMs);
    }
}
