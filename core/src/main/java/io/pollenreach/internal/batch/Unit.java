package io.pollenreach.internal.batch;

import java.util.List;

/**
 * Tasks of one step that are placed together: all of a gang, or a single one.
 *
 * <p>Immutable.
 *
 * @param group what all units of the step have in common
 */
record Unit(UnitOrder.Group group, List<TaskProgress> tasks) {
    JobProgress job() {
        return group.job();
    }

    StepSpec spec() {
        return group.spec();
    }

    boolean guaranteed() {
        return group.guaranteed();
    }

    Timeliness timeliness() {
        return group.timeliness();
    }

    TaskId first() {
        return tasks.get(0).id();
    }

    /** Tells whether the job has an objective, so that it is known what can still be reached. */
    boolean hasObjective() {
        return group.timing().hasObjective();
    }

    /** Tells whether the job could be in time if its runs were much longer than expected. */
    boolean couldBeInTime() {
        return group.timing()
                .couldBeInTime(group.occurrence(), group.step(), group.tasks().size());
    }

    /** Returns how much later the unit could start for its job to be in time, in milliseconds; 0 without objective. */
    long slackMs(long nowMs) {
        return hasObjective() ? Math.round(group.latestStartMs() - nowMs) : 0;
    }
}
