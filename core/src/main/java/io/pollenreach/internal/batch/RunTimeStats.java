package io.pollenreach.internal.batch;

/**
 * Decayed statistics of how the running times under one key depend on the estimates.
 *
 * <p>All times are natural logarithms of milliseconds. The error of an estimate is the logarithm of the running time
 * less that of the estimate; it is regressed on the logarithm of the estimate, so that a slope of -1 means that
 * estimates tell nothing. Each number of observations or time that passes halves the weight of what was learned before.
 *
 * <p>Invariant: weights and centred sums of squares are not negative, and all values are finite. Not thread-safe:
 * confined to the scheduler's thread.
 */
final class RunTimeStats {
    /** Observations after which earlier ones count half. */
    private static final double HALF_LIFE_OBSERVATIONS = 64;

    /** Time after which earlier observations count half, in milliseconds. */
    private static final double HALF_LIFE_MS = 600_000;

    /** Pseudo-observations in favour of the estimate, or of the coarser key. */
    private static final double PRIOR_WEIGHT = 3;

    /** The same for jobs without an estimate, of which nothing is known before. */
    private static final double PRIOR_WEIGHT_UNESTIMATED = 0.1;

    /** The sum of squares of estimates about their mean that counts in favour of a slope of 0. */
    private static final double PRIOR_SLOPE_WEIGHT = 1;

    /** Estimates further from their mean than this many standard deviations are followed in full. */
    private static final double MAX_DEVIATIONS = 2.5;

    private static final double MIN_JOB_VARIANCE = 0.01;

    /** What is expected of a job's tasks before any of them was observed. Immutable. */
    record Prediction(double error, double jobVariance, double runVariance, double tailShare) {
        /** What is expected where nothing was learned: the estimate is right within a factor of about two. */
        static final Prediction OF_ESTIMATE = new Prediction(0, 0.5, 0.09, 0);

        private Prediction towards(Prediction other, double share, double runShare) {
            return new Prediction(
                    error + share * (other.error - error),
                    jobVariance + share * (other.jobVariance - jobVariance),
                    runVariance + runShare * (other.runVariance - runVariance),
                    tailShare + runShare * (other.tailShare - tailShare));
        }
    }

    /**
     * The values as they are stored; how old they are is not, so that the time of a take-over does not count.
     *
     * <p>Immutable.
     */
    record Values(
            double weight,
            double meanX,
            double meanError,
            double sumXx,
            double sumXe,
            double sumEe,
            double runWeight,
            double runVariance,
            double tailShare) {
        /** Returns the values with few digits. */
        Values rounded() {
            return new Values(
                    LearnedTimes.rounded(weight),
                    LearnedTimes.rounded(meanX),
                    LearnedTimes.rounded(meanError),
                    LearnedTimes.rounded(sumXx),
                    LearnedTimes.rounded(sumXe),
                    LearnedTimes.rounded(sumEe),
                    LearnedTimes.rounded(runWeight),
                    LearnedTimes.rounded(runVariance),
                    LearnedTimes.rounded(tailShare));
        }

        /** Tells whether the values can have been written by {@link RunTimeStats}. */
        boolean valid() {
            double sum = weight + meanX + meanError + sumXx + sumXe + sumEe + runWeight + runVariance + tailShare;
            return Double.isFinite(sum)
                    && weight >= 0
                    && sumXx >= 0
                    && sumEe >= 0
                    && runWeight >= 0
                    && runVariance >= 0
                    && tailShare >= 0
                    && tailShare <= 1
                    && sumXe * sumXe <= sumXx * sumEe * 1.01 + 1e-3;
        }
    }

    private Values v;
    private long decayedMs;

    RunTimeStats(Values values, long nowMs) {
        v = values;
        decayedMs = nowMs;
    }

    static RunTimeStats empty(long nowMs) {
        return new RunTimeStats(new Values(0, 0, 0, 0, 0, 0, 0, 0, 0), nowMs);
    }

    Values values() {
        return v;
    }

    double weight() {
        return v.weight();
    }

    /** Returns the error that is expected of an estimate of the usual size, on its own. */
    double meanError() {
        return v.meanError();
    }

    /**
     * Adds what is known of a job's running time after one more of its runs was observed.
     *
     * @param x the logarithm of the estimate
     * @param error the logarithm of the job's running time, less that of the estimate
     * @param jobWeight the weight; less than 1 for further runs of a job, since its runs share their estimate's error
     */
    void addJob(double x, double error, double jobWeight, long nowMs) {
        double keep = keep(jobWeight, nowMs);
        double weight = v.weight() * keep + jobWeight;
        double dx = x - v.meanX();
        double de = error - v.meanError();
        double part = jobWeight / weight;
        double product = jobWeight * (1 - part);
        v = new Values(
                weight,
                v.meanX() + part * dx,
                v.meanError() + part * de,
                v.sumXx() * keep + product * dx * dx,
                v.sumXe() * keep + product * dx * de,
                v.sumEe() * keep + product * de * de,
                v.runWeight() * keep,
                v.runVariance(),
                v.tailShare());
    }

    /** Adds how far a run was from what was expected of it: as a variance, and whether it is in the tail. */
    void addRun(double variance, boolean tail) {
        double keep = Math.pow(0.5, 1 / HALF_LIFE_OBSERVATIONS);
        double weight = v.runWeight() * keep + 1;
        v = new Values(
                v.weight(),
                v.meanX(),
                v.meanError(),
                v.sumXx(),
                v.sumXe(),
                v.sumEe(),
                weight,
                v.runVariance() + (variance - v.runVariance()) / weight,
                v.tailShare() + ((tail ? 1 : 0) - v.tailShare()) / weight);
    }

    private double keep(double observations, long nowMs) {
        double halvings = observations / HALF_LIFE_OBSERVATIONS + Math.max(0, nowMs - decayedMs) / HALF_LIFE_MS;
        decayedMs = nowMs;
        return Math.pow(0.5, halvings);
    }

    /** Returns the prediction for a job with an estimate, given that by a coarser key. */
    Prediction predict(double x, boolean estimated, Prediction coarser) {
        if (v.weight() <= 0) {
            return coarser;
        }
        double slope = v.sumXe() / (v.sumXx() + PRIOR_SLOPE_WEIGHT);
        double reach = MAX_DEVIATIONS * Math.sqrt(v.sumXx() / v.weight());
        double dx = Math.max(-reach, Math.min(reach, x - v.meanX()));
        // The means of few runs differ by the runs' own differences, too.
        double residual = Math.max(0, v.sumEe() - slope * v.sumXe()) / v.weight() - v.runVariance() / 2;
        double jobVariance = Math.max(MIN_JOB_VARIANCE, residual);
        double prior = estimated ? PRIOR_WEIGHT : PRIOR_WEIGHT_UNESTIMATED;
        double share = v.weight() / (v.weight() + prior);
        double runShare = v.runWeight() / (v.runWeight() + PRIOR_WEIGHT);
        Prediction own =
                new Prediction(v.meanError() + slope * dx, jobVariance, Math.max(0, v.runVariance()), v.tailShare());
        return coarser.towards(own, share, runShare);
    }
}
