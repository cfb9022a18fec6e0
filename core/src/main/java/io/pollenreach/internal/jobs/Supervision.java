package io.pollenreach.internal.jobs;

import java.util.List;

import io.pollenreach.JobState;

/**
 * Decides the next step of a placed job from what is known of its parts.
 *
 * <p>Pure and stateless, so safe for use by many threads.
 */
public final class Supervision {
    /** How long a starting attempt may make no progress before any entry gives it up, in milliseconds. */
    public static final long START_STALL_MS = 5_000;

    private Supervision() {}

    /** What to do next about a placed job. Immutable. */
    public enum Step {
        /** Nothing yet. */
        NONE,
        /** Record that every part succeeded. */
        SUCCEED,
        /** Let the parts run that are prepared only. */
        RELEASE,
        /** Stop all parts, since a task failed. */
        STOP_TASK_FAILED,
        /** Stop all parts, since one was lost. */
        STOP_PART_LOST,
        /** Stop all parts, since the start did not get on. */
        STOP_NOT_STARTED,
        /** Ask all agents to stop the attempt, and settle once all have confirmed. */
        CONFIRM_STOPPED
    }

    /**
     * Decides the next step.
     *
     * @param job the job's record
     * @param parts what is known of each part, by rank
     * @param startingForMs how long this entry has seen the job in {@link JobState#STARTING}, in milliseconds
     */
    public static Step next(JobRecord job, List<PartView> parts, long startingForMs) {
        switch (job.state()) {
            case STARTING:
                return startingForMs > START_STALL_MS ? Step.STOP_NOT_STARTED : Step.NONE;
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
        if (parts.stream().anyMatch(PartView::broken)) {
            return Step.STOP_PART_LOST;
        }
        if (parts.stream().allMatch(p -> p == PartView.SUCCEEDED)) {
            return Step.SUCCEED;
        }
        return parts.contains(PartView.PREPARED) ? Step.RELEASE : Step.NONE;
    }
}
