package io.pollenreach.internal.batch;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * The stored progress of a job; only the leader writes it.
 *
 * <p>Immutable.
 *
 * @param phase the job's phase
 * @param tasks the tasks that were placed at least once
 */
public record ProgressRow(JobPhase phase, List<TaskRow> tasks) {
    public ProgressRow {
        RequiredField.of(phase, "phase");
        tasks = tasks == null ? List.of() : List.copyOf(tasks);
    }

    /**
     * The stored progress of one task.
     *
     * <p>Immutable.
     *
     * @param occurrence the index of the job's occurrence
     * @param step the index of the step
     * @param index the index of the task in its step
     * @param state the task's state
     * @param run the number of the newest run
     * @param failures how many runs ended as failed
     * @param worker the name of the agent whose worker runs the task; empty if not placed
     * @param checkpoint the saved work; empty for none
     * @param endedRun the newest run whose end was recorded; 0 for none
     * @param failedRun the newest run that counted as a failure; 0 for none
     */
    @JsonInclude(JsonInclude.Include.NON_DEFAULT)
    public record TaskRow(
            int occurrence,
            int step,
            int index,
            TaskProgress.State state,
            int run,
            int failures,
            String worker,
            String checkpoint,
            int endedRun,
            int failedRun) {
        public TaskRow {
            worker = worker == null ? "" : worker;
            checkpoint = checkpoint == null ? "" : checkpoint;
            state = state == null ? TaskProgress.State.WAITING : state;
        }
    }
}
