package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * How fast each worker is, relative to the nominal speed, learned from the runs that were observed.
 *
 * <p>All workers count as nominal until their speeds differ by more than the runs' own differences explain.
 *
 * <p>Invariants: a speed is within {@value #MIN_SPEED} and {@value #MAX_SPEED}; the mean of the logarithms of the speeds
 * of observed workers is 0. A worker process that was born later starts anew. Not thread-safe: confined to the
 * scheduler's thread.
 */
final class WorkerSpeeds {
    /** The speed of a worker of which nothing is known. */
    static final double NOMINAL = 1;

    static final double MIN_SPEED = 0.2;
    static final double MAX_SPEED = 5;

    /** Runs of a worker before it may count as faster or slower than others. */
    private static final int MIN_RUNS = 2;

    /** Runs of a worker before it alone may count so, where the others do not differ. */
    private static final int MIN_OUTLIER_RUNS = 5;

    /** Workers with so many runs before any of them may count as faster or slower. */
    private static final int MIN_WORKERS = 3;

    /** The variance of the logarithm of a speed of which nothing is known. */
    private static final double PRIOR_VARIANCE = 0.15;

    /** Smallest variance of the logarithms of speeds that makes a difference to placement. */
    private static final double MIN_SPREAD = 0.04;

    /** Smallest square of the logarithm of a single worker's speed that makes a difference to placement. */
    private static final double MIN_OUTLIER = 0.16;

    /** How often the spread of speeds must exceed its own standard deviation, if there is no real one. */
    private static final double SIGNIFICANT_DEVIATIONS = 5;

    /** The same for a single worker; more, because the one that is furthest off among many is judged by it. */
    private static final double OUTLIER_DEVIATIONS = 6;

    /** The change of a speed's logarithm that is logged: a quarter. */
    private static final double LOGGED_CHANGE = Math.log(1.25);

    /** Speeds logged at a time; further ones follow. */
    private static final int MAX_LOGGED = 8;

    /** Workers in one stored list. */
    private static final int MAX_STORED = 150;

    /** Lists that are stored; speeds of further workers are not. */
    private static final int MAX_LISTS = 14;

    /** Time in which what is known of a worker's speed becomes uncertain again, in milliseconds. */
    private static final double FORGET_MS = 600_000;

    /** How much less certain a speed becomes with each run. */
    private static final double VARIANCE_PER_RUN = 0.0005;

    /** What is known of one worker's speed. Not thread-safe: confined to the scheduler's thread. */
    final class Speed {
        private final long bornMs;
        private double log;
        private double variance = PRIOR_VARIANCE;
        private int runs;
        private long updatedMs;
        private double published = NOMINAL;
        private double logged = NOMINAL;

        Speed(long bornMs, long nowMs) {
            this.bornMs = bornMs;
            updatedMs = nowMs;
        }

        /** Returns the expected logarithm of the speed. */
        double log() {
            return runs == 0 ? 0 : log - mean();
        }

        /** Returns the uncertainty of the logarithm of the speed, as a variance. */
        double variance() {
            return variance;
        }

        /** Tells whether the worker alone is faster or slower than the others. */
        private boolean isOutlier() {
            return runs >= MIN_OUTLIER_RUNS
                    && log() * log() > Math.max(MIN_OUTLIER, OUTLIER_DEVIATIONS * OUTLIER_DEVIATIONS * variance);
        }

        /** Moves the logarithm of the speed by its share of a difference, given relative to the total variance. */
        void update(double differencePerVariance, double totalVariance, long nowMs) {
            double forgotten = PRIOR_VARIANCE * Math.max(0, nowMs - updatedMs) / FORGET_MS + VARIANCE_PER_RUN;
            double difference = variance * differencePerVariance;
            if (runs == 0) {
                log = mean();
                sumOfLogs += log;
                observed++;
            }
            log += difference;
            sumOfLogs += difference;
            changed = true;
            variance = Math.min(PRIOR_VARIANCE, variance - variance * variance / totalVariance + forgotten);
            updatedMs = nowMs;
            runs++;
        }
    }

    private final Map<String, Speed> byWorker = new HashMap<>();
    private final DecisionLog log;
    /** The sum over the workers that were observed, and their number. */
    private double sumOfLogs;

    private int observed;
    private boolean changed;
    private boolean uniform = true;

    WorkerSpeeds(DecisionLog log) {
        this.log = log;
    }

    /** Returns a worker's speed; on a worker of speed 2 a task takes half as long as on one of nominal speed. */
    double of(WorkerAllocations worker) {
        if (changed) {
            publish();
        }
        Speed s = byWorker.get(worker.name());
        return s == null || s.bornMs != worker.report().bornMs() ? NOMINAL : s.published;
    }

    /** Returns what is known of a worker's speed, for an observation that may change it. */
    Speed forObservation(WorkerAllocations worker, long nowMs) {
        long bornMs = worker.report().bornMs();
        Speed s = byWorker.get(worker.name());
        if (s == null || s.bornMs != bornMs) {
            remove(s);
            s = new Speed(bornMs, nowMs);
            byWorker.put(worker.name(), s);
        }
        return s;
    }

    private void remove(Speed s) {
        if (s != null && s.runs > 0) {
            sumOfLogs -= s.log;
            observed--;
            changed = true;
        }
    }

    private double mean() {
        return observed == 0 ? 0 : sumOfLogs / observed;
    }

    private void publish() {
        changed = false;
        double squares = 0;
        double noise = 0;
        int known = 0;
        for (Speed s : byWorker.values()) {
            if (s.runs >= MIN_RUNS) {
                squares += s.log() * s.log();
                noise += s.variance;
                known++;
            }
        }
        uniform = known < MIN_WORKERS || !differ(squares / (known - 1), noise / known, known);
        byWorker.forEach((name, s) -> s.published = published(s));
        logChanges();
    }

    /** Logs the speeds that have changed by more than a quarter, a few at a time. */
    private void logChanges() {
        byWorker.entrySet().stream()
                .filter(e -> Math.abs(Math.log(e.getValue().published / e.getValue().logged)) > LOGGED_CHANGE)
                .limit(MAX_LOGGED)
                .forEach(e -> logChange(e.getKey(), e.getValue()));
    }

    private void logChange(String worker, Speed s) {
        log.logDecision(
                "worker-speed-learned",
                "worker",
                worker,
                "speed",
                LearnedTimes.rounded(s.published),
                "before",
                LearnedTimes.rounded(s.logged),
                "runs",
                s.runs,
                "uniform",
                uniform);
        s.logged = s.published;
    }

    /** Tells whether a variance among workers is not just that of what is not known of them. */
    private static boolean differ(double spread, double noise, int workers) {
        double limit = 1 + SIGNIFICANT_DEVIATIONS * Math.sqrt(2.0 / (workers - 1));
        return spread > MIN_SPREAD && spread > noise * limit;
    }

    private double published(Speed s) {
        if (s.runs < MIN_RUNS || observed < MIN_WORKERS || uniform && !s.isOutlier()) {
            return NOMINAL;
        }
        return Math.max(MIN_SPEED, Math.min(MAX_SPEED, Math.exp(s.log())));
    }

    /** Returns how many workers count as faster or slower than nominal. */
    long offNominal() {
        if (changed) {
            publish();
        }
        return byWorker.values().stream().filter(s -> s.published != NOMINAL).count();
    }

    /** Returns the speeds that are worth keeping, in lists of bounded length; none while all workers are nominal. */
    List<List<LearnedTimes.WorkerSpeed>> stored() {
        List<List<LearnedTimes.WorkerSpeed>> lists = new ArrayList<>();
        if (offNominal() == 0) {
            return lists;
        }
        List<LearnedTimes.WorkerSpeed> list = new ArrayList<>();
        for (String worker : new TreeSet<>(byWorker.keySet())) {
            Speed s = byWorker.get(worker);
            if (s.runs < MIN_RUNS) {
                continue;
            }
            list.add(new LearnedTimes.WorkerSpeed(
                    worker, s.bornMs, LearnedTimes.rounded(s.log()), LearnedTimes.rounded(s.variance), s.runs));
            if (list.size() == MAX_STORED) {
                lists.add(list);
                list = new ArrayList<>();
            }
        }
        if (!list.isEmpty()) {
            lists.add(list);
        }
        return lists.subList(0, Math.min(MAX_LISTS, lists.size()));
    }

    /** Takes over the stored speed of a worker's present process; tells whether it made sense. */
    boolean restore(LearnedTimes.WorkerSpeed stored, long nowMs) {
        boolean valid = Math.abs(stored.log()) <= Math.log(MAX_SPEED) * 2
                && stored.variance() > 0
                && stored.variance() <= PRIOR_VARIANCE
                && stored.runs() > 0;
        if (!valid) {
            return false;
        }
        Speed s = new Speed(stored.bornMs(), nowMs);
        remove(byWorker.put(stored.worker(), s));
        s.log = stored.log();
        s.variance = stored.variance();
        s.runs = stored.runs();
        sumOfLogs += s.log;
        observed++;
        changed = true;
        return true;
    }
}
