package io.pollenreach.internal.batch;

import java.util.List;

/**
 * What was learned of running times, or of the speeds of some workers, as it is stored.
 *
 * <p>Immutable.
 *
 * @param times the statistics by key, the coarsest keys first
 * @param speeds the speeds of workers
 */
public record LearnedTimes(List<KeyTimes> times, List<WorkerSpeed> speeds) {
    /** Differences of logarithms below this one are not worth a write. */
    private static final double MATERIAL = 0.1;

    /** Growth of the weight above which statistics are written although they say the same. */
    private static final double MATERIAL_GROWTH = 1.5;

    public LearnedTimes {
        times = times == null ? List.of() : List.copyOf(times);
        speeds = speeds == null ? List.of() : List.copyOf(speeds);
    }

    /** The statistics under one key. Immutable. */
    record KeyTimes(RunTimeKey key, RunTimeStats.Values values) {
        KeyTimes {
            RequiredField.of(key, "key");
            RequiredField.of(values, "values");
        }

        private boolean like(KeyTimes other) {
            return key.equals(other.key)
                    && Math.abs(values.meanError() - other.values.meanError()) < MATERIAL
                    && values.weight() < MATERIAL_GROWTH * other.values.weight();
        }
    }

    /**
     * What is known of the speed of one worker process.
     *
     * <p>Immutable.
     *
     * @param worker the name of the worker's agent
     * @param bornMs when the process started, in milliseconds since the Unix epoch
     * @param log the natural logarithm of the speed
     * @param variance how uncertain that is
     * @param runs the number of runs observed
     */
    record WorkerSpeed(String worker, long bornMs, double log, double variance, int runs) {
        WorkerSpeed {
            RequiredField.of(worker, "worker");
        }

        private boolean like(WorkerSpeed other) {
            return worker.equals(other.worker) && bornMs == other.bornMs && Math.abs(log - other.log) < MATERIAL;
        }
    }

    /** Tells whether this says so nearly the same as an earlier one that it need not be stored. */
    public boolean like(LearnedTimes earlier) {
        if (times.size() != earlier.times.size() || speeds.size() != earlier.speeds.size()) {
            return false;
        }
        for (int i = 0; i < times.size(); i++) {
            if (!times.get(i).like(earlier.times.get(i))) {
                return false;
            }
        }
        for (int i = 0; i < speeds.size(); i++) {
            if (!speeds.get(i).like(earlier.speeds.get(i))) {
                return false;
            }
        }
        return true;
    }

    /** Rounds to four significant digits, so that rows stay short. */
    static double rounded(double value) {
        if (value == 0 || !Double.isFinite(value)) {
            return value;
        }
        double scale = Math.pow(10, 3 - Math.floor(Math.log10(Math.abs(value))));
        return Double.isFinite(scale) && scale > 0 ? Math.round(value * scale) / scale : value;
    }
}
