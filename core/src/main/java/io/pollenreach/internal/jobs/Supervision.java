package io.pollenreach.internal.jobs;

import java.util.List;

import io.pollenreach.JobState;

/**
 * Decides the next step of a placed job from the known states of its parts.
 *
 * <p>Pure and stateless, so safe for use by many threads.
 */
public final class Supervision {
    /** How long a job may stay in {@link JobState#STARTING} before an entry stops the attempt, in milliseconds. */
    public static final long START_TIMEOUT_MS = 5_000;

    private Supervision() {}

    /** The next step for a placed job. Immutable. */
    public enum Step {
        /** Do nothing. */
        NONE,
        /** Record that every part succeeded. */
        SUCCEED,
        /** Release the parts that are still only prepared. */
        RELEASE,
        /** Stop all parts because a task failed. */
        STOP_TASK_FAILED,
        /** Stop all parts because one was lost or stopped. */
        STOP_PART_LOST,
        /** Stop all parts because the start timed out. */
        STOP_NOT_STARTED,
        /** Ask all agents to stop the attempt; the job leaves STOPPING once all have confirmed. */
        CONFIRM_STOPPED
    }

    /**
     * Decides the next step.
     *
     * @param job the job's record
     * @param parts the known state of each part, by rank
     * @param startingForMs how long this entry has observed the job in {@link JobState#STARTING} without a pause of its
     *     own, in milliseconds
     */
    public static Step next(JobRecord job, List<PartView> parts, long startingForMs) {
        switch (job.state()) {
            case STARTING:
                return startingForMs > START_TIMEOUT_MS ? Step.STOP_NOT_STARTED : Step.NONE;
            case RUNNING:
                return nextOfRunning(parts);
            case STOPPING:
                return Step.CONFIRM_STOPPED;
            default:
                return Step.NONE;
        }
    }

    private static Step nextOfRunning(List<PartView> parts) {
        if (parts.contains(PartView.FAILED)) {
            return Step.STOP_TASK_FAILED;
        }
        if (parts.stream().anyMatch(PartView::preventsSuccess)) {
            return Step.STOP_PART_LOST;
        }
        if (parts.stream().allMatch(p -> p == PartView.SUCCEEDED)) {
            return Step.SUCCEED;
        }
        return parts.contains(PartView.PREPARED) ? Step.RELEASE : Step.NONE;
    }
}
