package io.pollenreach.internal.batch;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;

/**
 * How fast a job is to be completed, relative to the work that it has.
 *
 * <p>A job is in time if it is completed within the factor times its longest chain of work, and the latency more; up
 * to a multiple of that it is late, and after that of no use. Immutable.
 *
 * @param factor how many times the longest chain of work a job may take; positive
 * @param latencyMs what it may take in addition, in milliseconds
 */
public record JobObjective(double factor, long latencyMs) {
    /** How many times the time of a job that is in time one may take that is still of use. */
    private static final double USEFUL_MULTIPLE = 3;

    /** Longest latency of an objective, in milliseconds: a year, so that no due time overflows. */
    private static final long MAX_LATENCY_MS = 366L * 24 * 3_600 * 1_000;

    private static final double MAX_FACTOR = 1e6;

    /** Creates an objective; throws a {@link PollenreachException} if a value is out of its range. */
    public JobObjective {
        if (!(factor > 0 && factor <= MAX_FACTOR)) {
            throw new PollenreachException(
                    ResultCode.OUT_OF_RANGE, "objective", "factor " + factor + " is not within 0 and " + MAX_FACTOR);
        }
        if (latencyMs < 0 || latencyMs > MAX_LATENCY_MS) {
            throw new PollenreachException(
                    ResultCode.OUT_OF_RANGE,
                    "objective",
                    "latency of " + latencyMs + " ms is not within 0 and " + MAX_LATENCY_MS + " ms");
        }
    }

    /** Returns the time within which a job with a longest chain of work is in time, in milliseconds. */
    double inTimeMs(double chainMs) {
        return factor * chainMs + latencyMs;
    }

    /** Returns the time within which a job with a longest chain of work is of use, in milliseconds. */
    public double usefulMs(double chainMs) {
        return USEFUL_MULTIPLE * inTimeMs(chainMs);
    }
}
