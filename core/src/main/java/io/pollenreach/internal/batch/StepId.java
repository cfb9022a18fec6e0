package io.pollenreach.internal.batch;

/**
 * Identifies one step of one occurrence of a job; its text form is {@code job.occurrence.step}.
 *
 * <p>Immutable.
 */
public record StepId(String job, int occurrence, int step) {
    static StepId of(TaskId task) {
        return new StepId(task.job(), task.occurrence(), task.step());
    }

    @Override
    public String toString() {
        return job + '.' + occurrence + '.' + step;
    }
}
