package io.pollenreach.bench.load;

import java.util.List;

/**
 * A straight line through measured points.
 *
 * <p>Immutable.
 *
 * @param slope the growth of y for each unit of x
 * @param intercept y at zero
 * @param residual the root of the mean squared distance of the points from the line, in units of y
 */
record LeastSquares(double slope, double intercept, double residual) {
    /** Fits a line to at least two points with different x. */
    static LeastSquares fit(List<Double> x, List<Double> y) {
        int n = x.size();
        double meanX = mean(x);
        double meanY = mean(y);
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < n; i++) {
            covariance += (x.get(i) - meanX) * (y.get(i) - meanY);
            variance += (x.get(i) - meanX) * (x.get(i) - meanX);
        }
        double slope = covariance / variance;
        double intercept = meanY - slope * meanX;
        double squares = 0;
        for (int i = 0; i < n; i++) {
            double off = y.get(i) - intercept - slope * x.get(i);
            squares += off * off;
        }
        return new LeastSquares(slope, intercept, Math.sqrt(squares / n));
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(v -> v).average().orElseThrow();
    }
}
