package io.pollenreach.internal.routing;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.regex.Pattern;

/**
 * Expects the service time of requests from earlier ones of the same workspace and path.
 *
 * <p>Parts of a path that hold a digit are taken for identifiers and do not tell paths apart. Only the most recently
 * used keys are kept. Safe for use by many threads.
 */
public final class ServiceTimeEstimator {
    private static final int MAX_KEYS = 4_096;
    private static final int SAMPLES = 64;
    private static final double SMOOTHING = 0.2;
    private static final Pattern IDENTIFIER = Pattern.compile("[^/]*[0-9][^/]*");

    private final double defaultMs;
    private final Map<Key, Window> windows;

    /**
     * Creates an estimator that knows nothing yet.
     *
     * @param defaultMs what is expected of a key that was never seen, in milliseconds
     */
    public ServiceTimeEstimator(double defaultMs) {
        this.defaultMs = defaultMs;
        this.windows = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Key, Window> eldest) {
                return size() > MAX_KEYS;
            }
        };
    }

    /** Records how long a request took in service, in milliseconds. */
    public synchronized void record(String workspace, String path, double serviceMs) {
        windows.computeIfAbsent(key(workspace, path), k -> new Window()).add(serviceMs);
    }

    /** Returns the smoothed service time in milliseconds. */
    public synchronized double expectedMs(String workspace, String path) {
        Window w = windows.get(key(workspace, path));
        return w == null ? defaultMs : w.meanMs;
    }

    /**
     * Returns a quantile of the recent service times in milliseconds.
     *
     * @param quantile between 0 and 1, such as 0.95
     * @param minSamples how many samples are needed for an answer
     */
    public synchronized OptionalDouble quantileMs(String workspace, String path, double quantile, int minSamples) {
        Window w = windows.get(key(workspace, path));
        if (w == null || w.count < minSamples) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(w.quantileMs(quantile));
    }

    private static Key key(String workspace, String path) {
        return new Key(workspace, IDENTIFIER.matcher(path).replaceAll("*"));
    }

    private record Key(String workspace, String path) {}

    private static final class Window {
        private final double[] samples = new double[SAMPLES];
        private int count;
        private int next;
        private double meanMs;

        void add(double ms) {
            meanMs = count == 0 ? ms : meanMs + SMOOTHING * (ms - meanMs);
            samples[next] = ms;
            next = (next + 1) % SAMPLES;
            count = Math.min(SAMPLES, count + 1);
        }

        double quantileMs(double quantile) {
            double[] sorted = Arrays.copyOf(samples, count);
            Arrays.sort(sorted);
            int i = (int) Math.ceil(quantile * count) - 1;
            return sorted[Math.max(0, Math.min(count - 1, i))];
        }
    }
}
