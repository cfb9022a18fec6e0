package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Foresees when workers will have room, from the progress that they report of their runs.
 *
 * <p>For use by one thread.
 */
final class Forecast {
    /** Said of room that no end of a run will make. */
    static final long NEVER = Long.MAX_VALUE;

    /** What a stop is taken to need until its room is free, in milliseconds; the platform's limit is 200 to 400. */
    private static final long STOP_MS = 300;

    /** Room that becomes free after a time. Immutable. */
    private record Release(long afterMs, Resources room) {}

    private final Map<String, JobProgress> jobs;
    private final long nowMs;

    Forecast(Map<String, JobProgress> jobs, long nowMs) {
        this.jobs = jobs;
        this.nowMs = nowMs;
    }

    /** Returns in how many milliseconds a need will fit on a worker that has this much room now. */
    long untilFitsMs(WorkerAllocations worker, Resources room, Resources need) {
        List<Release> releases = new ArrayList<>();
        worker.heldByRuns().forEach((run, held) -> releases.add(new Release(remainingMs(run), held)));
        releases.add(new Release(STOP_MS, worker.heldByStops()));
        releases.sort(Comparator.comparingLong(Release::afterMs));
        Resources have = room;
        long afterMs = 0;
        for (Release r : releases) {
            if (need.fitsIn(have) || r.afterMs() == NEVER) {
                break;
            }
            have = have.plus(r.room());
            afterMs = r.afterMs();
        }
        return need.fitsIn(have) ? afterMs : NEVER;
    }

    private long remainingMs(TaskRun run) {
        JobProgress job = jobs.get(run.task().job());
        if (job == null) {
            return STOP_MS;
        }
        StepSpec spec = job.spec(run.task());
        if (spec.longRunning()) {
            return NEVER;
        }
        return job.find(run.task())
                .filter(t -> t.run() == run.run())
                .map(t -> t.remainingMs(spec.estimatedMs(), nowMs))
                .orElse(STOP_MS);
    }
}
