package io.pollenreach.bench.experiment;

import java.util.SplittableRandom;

/**
 * Random draws that depend only on the seed and on what is drawn for, so that every policy meets the same workload.
 *
 * <p>Not safe for use by many threads.
 */
final class Draws {
    private final SplittableRandom random;

    /** Creates the draws for one purpose, such as the lengths of one kind of request. */
    Draws(long seed, String purpose) {
        this.random = new SplittableRandom(seed * 0x9E3779B97F4A7C15L + purpose.hashCode() * 0xBF58476D1CE4E5B9L);
    }

    double uniform() {
        return random.nextDouble();
    }

    int below(int bound) {
        return random.nextInt(bound);
    }

    double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    /** Draws from a log-normal distribution with this mean and this standard deviation of the logarithm. */
    double logNormal(double mean, double sigma) {
        double normal = Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
        return mean * Math.exp(sigma * normal - sigma * sigma / 2);
    }
}
