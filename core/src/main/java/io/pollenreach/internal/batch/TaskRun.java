package io.pollenreach.internal.batch;

/**
 * One run of a task; runs are numbered upwards from 1, and the members of a gang share the number.
 *
 * <p>Immutable.
 */
public record TaskRun(TaskId task, int run) {
    public TaskRun {
        RequiredField.of(task, "task");
    }

    @Override
    public String toString() {
        return task + "#" + run;
    }
}
