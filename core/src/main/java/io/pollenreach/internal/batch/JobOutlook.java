package io.pollenreach.internal.batch;

import java.util.List;
import java.util.OptionalInt;

/**
 * Why the waiting tasks of a job wait, as of the scheduler's last pass.
 *
 * <p>Immutable.
 *
 * @param job the job's id
 * @param phase the job's phase
 * @param waitingSteps how many of its steps are ready and have waiting tasks
 * @param steps the first of these steps
 */
public record JobOutlook(String job, JobPhase phase, int waitingSteps, List<Step> steps) {
    public JobOutlook {
        steps = List.copyOf(steps);
    }

    /**
     * A step that is ready.
     *
     * <p>Immutable.
     *
     * @param occurrence the occurrence
     * @param step the step's index
     * @param waitingTasks how many of its tasks wait
     * @param waitedMs how long the first of these has waited, in milliseconds
     * @param place the place of its first unit among the units of its pool that wait, from 1 on; empty if the last pass
     *     did not decide on it, because it is new or an earlier run may still hold resources
     * @param guaranteed whether the job is within its workspace's guarantee
     * @param timeliness what can still be reached for the job; empty without a place
     * @param workers the workers of the pool; none without a place
     */
    public record Step(
            int occurrence,
            int step,
            int waitingTasks,
            long waitedMs,
            OptionalInt place,
            boolean guaranteed,
            String timeliness,
            List<Worker> workers) {
        public Step {
            workers = List.copyOf(workers);
        }
    }

    /**
     * A worker and why it did not get a task.
     *
     * <p>Immutable.
     *
     * @param name the name of its agent
     * @param zone the availability zone
     * @param rack the rack
     * @param free what its runs leave of its capacity
     * @param reportedMsAgo the age of its last report, in milliseconds
     * @param verdict why it did not get a task
     */
    public record Worker(
            String name, String zone, String rack, Resources free, long reportedMsAgo, PoolWorkerVerdict verdict) {}
}
