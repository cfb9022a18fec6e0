package io.pollenreach.internal.batch;

/**
 * The part of the standard normal distribution above a bound.
 *
 * <p>Invariant: for bounds that are not negative, all results are finite and within five percent of the exact ones. Stateless,
 * so safe for use by many threads.
 */
final class NormalTail {
    private NormalTail() {}

    /**
     * Returns the expected value given that it exceeds a bound, known as the inverse Mills ratio, by Boyd's approximation.
     *
     * @param bound not negative
     */
    static double mean(double bound) {
        return ((Math.PI - 1) * bound + Math.sqrt(bound * bound + 2 * Math.PI)) / Math.PI;
    }

    /**
     * Returns by which share the variance is less given that the value exceeds a bound; less than 1.
     *
     * @param bound not negative
     */
    static double information(double bound) {
        double mean = mean(bound);
        return mean * (mean - bound);
    }
}
