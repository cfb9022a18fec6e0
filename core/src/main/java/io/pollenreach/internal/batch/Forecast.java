package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates when workers will have free capacity, from the reported progress of their runs.
 *
 * <p>Not thread-safe.
 */
final class Forecast {
    /** The time until a need fits if no expected end of a run frees enough capacity. */
    static final long NEVER = Long.MAX_VALUE;

    /** Resources that become free after a time. Immutable. */
    private record Release(long afterMs, Resources resources) {}

    private final Map<String, JobProgress> jobs;
    private final RunTimes runTimes;
    private final WorkerSpeeds workerSpeeds;
    private final StopTimes stopTimes;
    private final long nowMs;
    private final Map<WorkerAllocations, List<Release>> releasesByWorker = new HashMap<>();

    Forecast(SchedulerState state, long nowMs) {
        jobs = state.jobs();
        runTimes = state.runTimes();
        workerSpeeds = state.workerSpeeds();
        stopTimes = state.observations().stopTimes();
        this.nowMs = nowMs;
    }

    /** Returns the expected time, in milliseconds, until a need fits on a worker with the given free capacity. */
    long untilFitsMs(WorkerAllocations worker, Resources free, Resources need) {
        Resources available = free;
        long afterMs = 0;
        for (Release r : releasesByWorker.computeIfAbsent(worker, this::releases)) {
            if (need.fitsIn(available) || r.afterMs() == NEVER) {
                break;
            }
            available = available.plus(r.resources());
            afterMs = r.afterMs();
        }
        return need.fitsIn(available) ? afterMs : NEVER;
    }

    /** Returns the expected time from a stop in a pool until the resources of its run are free, in milliseconds. */
    long stopMs(String pool) {
        return stopTimes.expectedMs(pool);
    }

    /** Forgets what was computed of a worker's runs, after one was placed on it. */
    void invalidate(WorkerAllocations worker) {
        releasesByWorker.remove(worker);
    }

    /** Forgets what was computed of all workers' runs, after some were stopped. */
    void invalidateAll() {
        releasesByWorker.clear();
    }

    private List<Release> releases(WorkerAllocations worker) {
        List<Release> releases = new ArrayList<>();
        double speed = workerSpeeds.of(worker);
        worker.heldByRuns()
                .forEach((run, held) -> releases.add(
                        new Release(remainingMs(run, worker.report().pool(), speed), held)));
        releases.add(new Release(stopMs(worker.report().pool()), worker.heldByStops()));
        releases.sort(Comparator.comparingLong(Release::afterMs));
        return releases;
    }

    /** Returns the expected time until a run on a worker ends, in milliseconds; {@link #NEVER} for long-running tasks. */
    long remainingMs(TaskRun run, WorkerAllocations worker) {
        return remainingMs(run, worker.report().pool(), workerSpeeds.of(worker));
    }

    private long remainingMs(TaskRun run, String pool, double speed) {
        JobProgress job = jobs.get(run.task().job());
        if (job == null) {
            return stopMs(pool);
        }
        StepSpec spec = job.spec(run.task());
        if (spec.longRunning()) {
            return NEVER;
        }
        return job.find(run.task())
                .filter(t -> t.run() == run.run())
                .map(t -> t.remainingMs(runTimes.of(job.job(), t.id().step()), speed, nowMs))
                .orElse(stopMs(pool));
    }
}
