package io.pollenreach.internal.batch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Takes from runs how long tasks take and how fast workers are.
 *
 * <p>A run is observed once: when enough of its work is done to extrapolate its progress, or else at its end. One that is
 * cut off before counts as at least as long as it was seen to make progress. Left out is what does not tell the running
 * time at nominal speed near the data: runs that failed or on workers that fail tasks, runs far from their data, gangs over
 * several racks, tasks that run until they are stopped, and fillers.
 *
 * <p>Invariant: a gang counts as one run, on the slowest of its workers. Not thread-safe: confined to the scheduler's
 * thread.
 */
public final class RunObservations {
    /** The work that a run must have done, in percent, before its progress is extrapolated. */
    private static final int MIN_PROGRESS = 30;

    /** The time for which it must have been seen, in milliseconds, since reports come about twice a second. */
    private static final long MIN_PROGRESS_MS = 2_000;

    /** Is told of each run that changes what is expected. */
    public interface Listener {
        /**
         * Handles an observed run.
         *
         * @param measuredMs how long the task takes from its beginning on its worker, in milliseconds
         * @param estimatedMs how long it takes by its estimate, in milliseconds
         * @param expectedMs how long it was expected to take there, in milliseconds
         */
        void runObserved(double measuredMs, double estimatedMs, double expectedMs);

        /**
         * Handles a run that was cut off later than expected.
         *
         * @param atLeastMs how long the task takes at least from its beginning on its worker, in milliseconds
         * @param expectedMs how long it was expected to take there, in milliseconds
         */
        void runCutOff(double atLeastMs, double expectedMs);
    }

    private static final Listener NOBODY = new Listener() {
        @Override
        public void runObserved(double measuredMs, double estimatedMs, double expectedMs) {}

        @Override
        public void runCutOff(double atLeastMs, double expectedMs) {}
    };

    /** A run that tells how long its step takes. Immutable. */
    private record ObservedRun(
            BatchJob job, int step, List<WorkerAllocations> workers, WorkerSpeeds.Speed speed, double expectedMs) {}

    private final SchedulerState state;
    private final DecisionLog log;
    private final RunTimes runTimes;
    private final WorkerSpeeds workerSpeeds;
    private final StopTimes stopTimes = new StopTimes();
    private Listener listener = NOBODY;

    RunObservations(SchedulerState state, DecisionLog log) {
        this.state = state;
        this.log = log;
        runTimes = new RunTimes(log);
        workerSpeeds = new WorkerSpeeds(log);
    }

    RunTimes runTimes() {
        return runTimes;
    }

    StopTimes stopTimes() {
        return stopTimes;
    }

    WorkerSpeeds workerSpeeds() {
        return workerSpeeds;
    }

    /** Records the reported progress of a task's current run, and observes the run if that tells enough. */
    void recordProgress(TaskProgress t, int percent, long nowMs) {
        t.recordProgress(percent, nowMs);
        if (!t.observed() && t.progressMade() >= MIN_PROGRESS && t.progressSeenMs(nowMs) >= MIN_PROGRESS_MS) {
            observe(t, t.extrapolatedMs(percent, nowMs), nowMs);
        }
    }

    /** Observes a run that has completed its task. */
    void recordDone(TaskProgress t, long nowMs) {
        if (!t.observed() && t.state() == TaskProgress.State.PLACED) {
            observe(t, t.extrapolatedMs(TaskProgress.FULL_PERCENT, nowMs), nowMs);
            // The other members of a gang that is done are stopped, and are not cut off.
            members(t).forEach(TaskProgress::markObserved);
        }
    }

    /**
     * Observes a run that does not go on, although its task is not done; one that failed tells nothing. Must be called
     * before the task, or another of its gang, is placed anew or waits.
     */
    void recordCutOff(TaskProgress t, long nowMs) {
        if (t.state() != TaskProgress.State.PLACED || t.observed() || t.hasFailed()) {
            return;
        }
        // A gang has run for as long as any of its members was seen at work.
        OptionalDouble atLeastMs = members(t).stream()
                .map(TaskProgress::atLeastMs)
                .flatMapToDouble(OptionalDouble::stream)
                .max();
        if (atLeastMs.isEmpty()) {
            return;
        }
        observedRun(t, nowMs).ifPresent(r -> {
            if (runTimes.observeCutOff(r.job(), r.step(), atLeastMs.getAsDouble(), r.speed(), nowMs)) {
                listener.runCutOff(atLeastMs.getAsDouble(), r.expectedMs());
            }
        });
    }

    private void observe(TaskProgress t, OptionalDouble measuredMs, long nowMs) {
        if (measuredMs.isEmpty()) {
            return;
        }
        observedRun(t, nowMs).ifPresent(r -> {
            double estimatedMs = r.job().steps().get(r.step()).estimatedMs();
            if (estimatedMs > 0) {
                listener.runObserved(measuredMs.getAsDouble(), estimatedMs, r.expectedMs());
            }
            runTimes.observe(r.job(), r.step(), measuredMs.getAsDouble(), r.speed(), r.workers(), nowMs);
        });
    }

    /** Marks a task's run, with its gang, as observed; empty if it tells nothing of the step. */
    private Optional<ObservedRun> observedRun(TaskProgress t, long nowMs) {
        JobProgress job = state.jobs().get(t.id().job());
        StepSpec spec = job.spec(t.id());
        if (spec.longRunning() || spec.filler()) {
            return Optional.empty();
        }
        List<TaskProgress> members = members(t);
        members.forEach(TaskProgress::markObserved);
        List<WorkerAllocations> workers = members.stream()
                .map(m -> state.workers().get(m.worker()))
                .distinct()
                .toList();
        if (workers.contains(null) || !representative(spec, workers, nowMs)) {
            return Optional.empty();
        }
        WorkerSpeeds.Speed speed = workers.stream()
                .map(w -> workerSpeeds.forObservation(w, nowMs))
                .min(Comparator.comparingDouble(WorkerSpeeds.Speed::log))
                .orElseThrow();
        int step = t.id().step();
        double expectedMs = runTimes.of(job.job(), step).medianMs() / Math.exp(speed.log());
        return Optional.of(new ObservedRun(job.job(), step, workers, speed, expectedMs));
    }

    private List<TaskProgress> members(TaskProgress t) {
        JobProgress job = state.jobs().get(t.id().job());
        return job.spec(t.id()).gang() ? job.step(t.id()) : List.of(t);
    }

    private static boolean representative(StepSpec spec, List<WorkerAllocations> workers, long nowMs) {
        String rack = workers.get(0).report().rack();
        boolean nearData = workers.stream()
                .allMatch(w -> spec.dataRack().isEmpty()
                        || spec.dataRack().equals(w.report().rack()));
        boolean together = !spec.sameRack()
                || workers.stream().allMatch(w -> w.report().rack().equals(rack));
        return nearData
                && together
                && workers.stream()
                        .noneMatch(
                                w -> w.health().isSuspect(nowMs) || w.health().isExcluded(nowMs));
    }

    /** Sets who is told of runs that change what is expected. */
    public void listen(Listener newListener) {
        listener = newListener;
    }

    /** Returns what was learned of running times and is worth keeping. */
    public LearnedTimes times() {
        return new LearnedTimes(runTimes.stored(), List.of());
    }

    /** Returns what was learned of the speeds of workers and is worth keeping, in parts of bounded size. */
    public List<LearnedTimes> speeds() {
        return workerSpeeds.stored().stream()
                .map(s -> new LearnedTimes(List.of(), s))
                .toList();
    }

    /** Takes over what an earlier scheduler learned; what makes no sense or concerns former workers is left out. */
    public void restore(LearnedTimes learned, long nowMs) {
        int leftOut = runTimes.restore(learned.times(), nowMs);
        for (LearnedTimes.WorkerSpeed s : learned.speeds()) {
            WorkerAllocations w = state.workers().get(s.worker());
            boolean present = w != null && w.report().bornMs() == s.bornMs();
            leftOut += present && !workerSpeeds.restore(s, nowMs) ? 1 : 0;
        }
        if (leftOut > 0) {
            log.logDecision("learned-times-left-out", "entries", leftOut);
        }
    }

    /** Returns the number of keys under which running times were learned. */
    public int keyCount() {
        return runTimes.keyCount();
    }

    /** Returns how many workers count as faster or slower than nominal. */
    public long workersOffNominal() {
        return workerSpeeds.offNominal();
    }
}
