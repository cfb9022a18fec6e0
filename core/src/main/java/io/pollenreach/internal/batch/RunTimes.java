package io.pollenreach.internal.batch;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * How long runs of tasks are expected to take, learned from the runs that were observed.
 *
 * <p>A step that was not observed is predicted from its estimate and what was learned of the errors of estimates, by
 * pool, by queue and step, and by workspace, queue and step. The runs of one step tell most about its other runs.
 *
 * <p>Invariants: an expectation is positive and finite; the numbers of keys and jobs are bounded, and those that were
 * used longest ago are dropped. Not thread-safe: confined to the scheduler's thread.
 */
final class RunTimes {
    /** Largest number of keys. */
    static final int MAX_KEYS = 400;

    /** Largest number of jobs of which single runs are remembered. */
    static final int MAX_JOBS = 4_096;

    /** Largest number of keys that are stored. */
    private static final int MAX_STORED_KEYS = 32;

    /** The change of an error's logarithm that is logged: a quarter. */
    private static final double LOGGED_CHANGE = Math.log(1.25);

    /** The weight of observations below which changes are not logged. */
    private static final double MIN_LOGGED_WEIGHT = 3;

    /**
     * Time for which the expectations of steps stay as they were while only other steps' runs are observed, in
     * milliseconds; at large sizes some run is observed before every pass.
     */
    private static final long REFRESH_MS = 1_000;

    /** Shortest expected running time, in milliseconds, for steps without an estimate. */
    private static final double MIN_MS = 1;

    /** Longest expected running time, in milliseconds. */
    private static final double MAX_MS = 1e9;

    /** Standard deviations of the normal distribution below which nine tenths of it are. */
    private static final double HIGH_DEVIATIONS = 1.2816;

    /** How much that rises with each share of runs in the tail, and the share up to which it does. */
    private static final double HIGH_DEVIATIONS_PER_TAIL = 5.1;

    private static final double MAX_TAIL_SHARE = 0.08;

    /** A run further than this many standard deviations above its expectation counts as in the tail. */
    private static final double TAIL_DEVIATIONS = 2.5;

    /** A run counts as if it were at most this many standard deviations off. */
    private static final double MAX_DEVIATIONS = 2;

    /** A run that was cut off counts at most as if it would have taken twice as long. */
    private static final double MAX_BEYOND_CUT_OFF = Math.log(2);

    private static final double MIN_RUN_VARIANCE = 0.0025;

    /** The standard deviation of the logarithm of a running time of which nothing was learned. */
    private static final double UNLEARNED_DEVIATION = Math.sqrt(
            RunTimeStats.Prediction.OF_ESTIMATE.jobVariance() + RunTimeStats.Prediction.OF_ESTIMATE.runVariance());

    /** Each time the observed runs of a step have doubled, up to a number, their mean counts once more with a weight. */
    private static final int MAX_COUNTED_RUNS = 16;

    private static final double FURTHER_RUNS_WEIGHT = 0.5;

    /**
     * The expected running time of one task from its beginning, on a worker of nominal speed and near its data.
     *
     * <p>Immutable.
     *
     * @param medianMs half of the runs are expected to be done within this time, in milliseconds
     * @param highMs nine of ten runs are expected to be done within this time, in milliseconds
     * @param deviation the standard deviation of the logarithm of the running time
     */
    record Expectation(double medianMs, double highMs, double deviation) {
        /**
         * Returns how much longer a run is expected to take that is not done, in milliseconds: what is left of its
         * expectation, and beyond that the mean of the runs that take longer. A run far beyond its expectation is one in
         * the tail, of which no more is known than of any run before the first.
         *
         * @param share the share of the work that the run began with
         * @param ranMs how long it has run, in milliseconds
         */
        double remainingMs(double share, double ranMs) {
            double wholeMs = share * medianMs;
            if (ranMs < wholeMs) {
                return wholeMs - ranMs;
            }
            double off = Math.log(ranMs / wholeMs) / deviation;
            boolean inTail = off > MAX_DEVIATIONS;
            double bound = inTail ? MAX_DEVIATIONS : off;
            double spread = inTail ? Math.max(deviation, UNLEARNED_DEVIATION) : deviation;
            return ranMs * Math.expm1(spread * (NormalTail.mean(bound) - bound));
        }
    }

    /** What is known of the tasks of one step of a job. */
    private static final class StepTimes {
        private final List<RunTimeKey> keys;
        private final double estimateMs;
        private final double x;
        private int runs;
        /** Runs that were cut off later than expected. */
        private int cutOff;
        /** The expected logarithm of the running time, and how uncertain it is. */
        private double mean;

        /** The mean of the logarithms of the running times at nominal speed that were measured. */
        private double measured;

        private double variance;
        private double runVariance;
        private double tailShare;
        private String firstWorker = "";
        private boolean severalWorkers;
        private Expectation expectation;
        private long generation = -1;

        private StepTimes(BatchJob job, int step) {
            keys = RunTimeKey.of(job, step);
            estimateMs = Math.max(MIN_MS, job.steps().get(step).estimatedMs());
            x = Math.log(estimateMs);
        }

        private boolean wasObserved() {
            return runs + cutOff > 0;
        }

        /** Returns the variance of the logarithm of a running time on a worker, of which the speed is uncertain, too. */
        private double variance(WorkerSpeeds.Speed speed) {
            return variance + runVariance + speed.variance();
        }
    }

    private final Map<RunTimeKey, RunTimeStats> keys = new BoundedMap<>(MAX_KEYS);
    private final Map<String, StepTimes[]> jobs = new BoundedMap<>(MAX_JOBS);
    private final Map<RunTimeKey, Double> loggedErrors = new BoundedMap<>(MAX_KEYS);
    private final DecisionLog log;
    /** Increases when expectations that were computed are out of date. */
    private long generation;

    private long refreshedMs;

    /** A map that drops the entry that was used longest ago. */
    private static final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1;
        private final int limit;

        BoundedMap(int limit) {
            super(16, 0.75f, true);
            this.limit = limit;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > limit;
        }
    }

    RunTimes(DecisionLog log) {
        this.log = log;
    }

    /** Returns the expectation for each task of a job's step. */
    Expectation of(BatchJob job, int step) {
        StepTimes times = times(job, step);
        if (times.generation != generation) {
            times.generation = generation;
            predict(times);
            times.expectation = expectation(times);
        }
        return times.expectation;
    }

    private StepTimes times(BatchJob job, int step) {
        StepTimes[] ofJob = jobs.get(job.id());
        if (ofJob == null || ofJob.length != job.steps().size()) {
            ofJob = new StepTimes[job.steps().size()];
            jobs.put(job.id(), ofJob);
        }
        if (ofJob[step] == null) {
            ofJob[step] = new StepTimes(job, step);
        }
        return ofJob[step];
    }

    private void predict(StepTimes times) {
        RunTimeStats.Prediction p = RunTimeStats.Prediction.OF_ESTIMATE;
        for (RunTimeKey key : times.keys) {
            RunTimeStats stats = keys.get(key);
            p = stats == null ? p : stats.predict(times.x, key.estimated(), p);
        }
        times.runVariance = Math.max(MIN_RUN_VARIANCE, p.runVariance());
        times.tailShare = p.tailShare();
        if (!times.wasObserved()) {
            times.mean = times.x + p.error();
            times.variance = p.jobVariance();
        }
    }

    private static Expectation expectation(StepTimes times) {
        double deviations = HIGH_DEVIATIONS + HIGH_DEVIATIONS_PER_TAIL * Math.min(MAX_TAIL_SHARE, times.tailShare);
        double spread = Math.sqrt(times.variance + times.runVariance);
        double median = Math.max(MIN_MS, Math.min(MAX_MS, times.estimateMs * Math.exp(times.mean - times.x)));
        return new Expectation(median, median * Math.exp(deviations * spread), spread);
    }

    /**
     * Takes in the running time of one run of a step, and what it tells of its worker's speed.
     *
     * <p>The difference to the expected time is shared between the step and the worker by how uncertain each is.
     *
     * @param measuredMs how long the task takes from its beginning on that worker, in milliseconds
     * @param speed what is known of the slowest worker's speed
     * @param workers the workers that ran it, at least one; several for a gang, which tells nothing of a single worker
     */
    void observe(
            BatchJob job,
            int step,
            double measuredMs,
            WorkerSpeeds.Speed speed,
            List<WorkerAllocations> workers,
            long nowMs) {
        StepTimes t = times(job, step);
        t.generation = -1;
        of(job, step);
        double total = t.variance(speed);
        double nominal = Math.log(Math.max(MIN_MS, measuredMs)) + speed.log();
        double off = nominal - t.mean;
        double deviation = Math.sqrt(total);
        double bounded = bounded(off, MAX_DEVIATIONS * deviation);
        double runVariance = bounded * bounded - t.variance - speed.variance();
        boolean further = t.runs > 0;
        t.severalWorkers |= workers.size() > 1
                || further && !t.firstWorker.equals(workers.get(0).name());
        // Runs of one step on one worker share whatever is unusual about the step, so they tell little of the worker.
        if (workers.size() == 1 && (!further || t.severalWorkers)) {
            speed.update(-bounded / total, total, nowMs);
        }
        t.mean += t.variance / total * (further ? bounded : off);
        t.variance -= t.variance * t.variance / total;
        t.measured += further ? bounded(nominal - t.measured, MAX_DEVIATIONS * deviation) / (t.runs + 1) : nominal;
        t.firstWorker = further ? t.firstWorker : workers.get(0).name();
        t.runs++;
        for (RunTimeKey key : t.keys) {
            RunTimeStats stats = keys.computeIfAbsent(key, k -> RunTimeStats.empty(nowMs));
            if (Integer.bitCount(t.runs) == 1 && t.runs <= MAX_COUNTED_RUNS) {
                stats.addJob(t.x, t.measured - t.x, further ? FURTHER_RUNS_WEIGHT : 1, nowMs);
            }
            if (further) {
                stats.addRun(Math.max(0, runVariance), off > TAIL_DEVIATIONS * deviation);
            }
            logChange(key, stats);
        }
        refresh(t, nowMs);
    }

    /**
     * Takes in that a run of a step was cut off; tells whether that was later than expected, since otherwise it says
     * nothing.
     *
     * <p>The run counts as if it had taken what is expected of one that takes longer, with as much weight as the bound tells of
     * it. No number of such runs raises the median beyond twice the longest
     * of them.
     *
     * @param atLeastMs how long the task takes at least from its beginning on that worker, in milliseconds
     * @param speed what is known of the slowest worker's speed
     */
    boolean observeCutOff(BatchJob job, int step, double atLeastMs, WorkerSpeeds.Speed speed, long nowMs) {
        StepTimes t = times(job, step);
        t.generation = -1;
        of(job, step);
        double total = t.variance(speed);
        double deviation = Math.sqrt(total);
        double bound = (Math.log(Math.max(MIN_MS, atLeastMs)) + speed.log() - t.mean) / deviation;
        if (bound <= 0) {
            return false;
        }
        double off = Math.min(deviation * NormalTail.mean(bound), deviation * bound + MAX_BEYOND_CUT_OFF);
        double information = NormalTail.information(bound);
        if (t.cutOff == 0) {
            double weight = t.wasObserved() ? FURTHER_RUNS_WEIGHT * information : information;
            for (RunTimeKey key : t.keys) {
                RunTimeStats stats = keys.computeIfAbsent(key, k -> RunTimeStats.empty(nowMs));
                stats.addJob(t.x, t.mean + off - t.x, weight, nowMs);
                logChange(key, stats);
            }
        }
        t.mean += t.variance / total * (t.wasObserved() ? bounded(off, MAX_DEVIATIONS * deviation) : off);
        t.variance -= t.variance * t.variance / total * information;
        t.cutOff++;
        refresh(t, nowMs);
        return true;
    }

    private void refresh(StepTimes times, long nowMs) {
        times.generation = -1;
        if (nowMs - refreshedMs >= REFRESH_MS) {
            refreshedMs = nowMs;
            generation++;
        }
    }

    private static double bounded(double value, double limit) {
        return Math.max(-limit, Math.min(limit, value));
    }

    /** Logs the error expected under one of the coarser keys when it has changed by more than a quarter. */
    private void logChange(RunTimeKey key, RunTimeStats stats) {
        double before = loggedErrors.getOrDefault(key, 0.0);
        double error = stats.meanError();
        if (key.level() > 1 || stats.weight() < MIN_LOGGED_WEIGHT || Math.abs(error - before) < LOGGED_CHANGE) {
            return;
        }
        loggedErrors.put(key, error);
        log.logDecision(
                "run-time-learned",
                "key",
                key,
                "timesEstimate",
                LearnedTimes.rounded(Math.exp(error)),
                "before",
                LearnedTimes.rounded(Math.exp(before)),
                "weight",
                LearnedTimes.rounded(stats.weight()));
    }

    /** Returns the statistics that are worth keeping, the coarsest first and then those with the most observations. */
    List<LearnedTimes.KeyTimes> stored() {
        return keys.entrySet().stream()
                .sorted(Comparator.<Map.Entry<RunTimeKey, RunTimeStats>>comparingInt(
                                e -> e.getKey().level())
                        .thenComparingDouble(e -> -e.getValue().weight()))
                .limit(MAX_STORED_KEYS)
                .sorted(Comparator.comparing(e -> e.getKey().toString()))
                .map(e -> new LearnedTimes.KeyTimes(
                        e.getKey(), e.getValue().values().rounded()))
                .toList();
    }

    /** Takes over stored statistics; leaves out and counts those that make no sense. */
    int restore(List<LearnedTimes.KeyTimes> stored, long nowMs) {
        int leftOut = 0;
        for (LearnedTimes.KeyTimes k : stored) {
            if (k.values().valid()) {
                keys.put(k.key(), new RunTimeStats(k.values(), nowMs));
                loggedErrors.put(k.key(), k.values().meanError());
            } else {
                leftOut++;
            }
        }
        generation++;
        return leftOut;
    }

    /** Returns the number of keys under which anything was learned. */
    int keyCount() {
        return keys.size();
    }
}
