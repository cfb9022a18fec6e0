package io.pollenreach.internal.batch;

/**
 * How many workers differ in speed from the nominal one, by the speed of their class.
 *
 * <p>Immutable.
 *
 * @param slower workers of classes slower than nominal
 * @param faster workers of classes faster than nominal
 * @param impaired workers far slower than the median of their pool, which are not among the slower ones
 */
public record SpeedCounts(int slower, int faster, int impaired) {}
