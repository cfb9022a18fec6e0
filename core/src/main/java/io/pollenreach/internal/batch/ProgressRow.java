package io.pollenreach.internal.batch;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.primitives.Longs;

/**
 * A stored row of a job's progress; only the leader writes it.
 *
 * <p>A job with more than {@link #MAX_TASKS} tasks has several rows, so that none grows beyond what the store takes. The
 * key of the first is the job's id, that of the others the id with {@link #SEPARATOR} and a number from 1. Immutable.
 *
 * @param phase the job's phase when the row was written; only that of the job's first row is kept up to date
 * @param tasks the tasks of this row that were placed at least once
 * @param owner who the job belongs to; null in rows after the first and in those of earlier versions
 * @param occurrences which occurrences of a recurring job are open; null in rows after the first, in those of jobs that do
 *     not recur, and in those of earlier versions
 */
public record ProgressRow(JobPhase phase, List<TaskRow> tasks, JobOwner owner, Occurrences occurrences) {
    /** Tasks whose progress one row holds. */
    public static final int MAX_TASKS = 250;

    /** Separates a job's id from the number of a row; no id contains it. */
    public static final char SEPARATOR = '~';

    public ProgressRow {
        RequiredField.of(phase, "phase");
        tasks = tasks == null ? List.of() : List.copyOf(tasks);
    }

    /** Creates a row without occurrences. */
    public ProgressRow(JobPhase phase, List<TaskRow> tasks, JobOwner owner) {
        this(phase, tasks, owner, null);
    }

    /** Returns the key of a job's row with a number from 0. */
    static String key(String job, long number) {
        return number == 0 ? job : job + SEPARATOR + number;
    }

    /** Returns the number of the row with a key; empty if no row of progress has such a key. */
    static Optional<Long> numberOf(String key) {
        int end = key.indexOf(SEPARATOR);
        return end < 0 ? Optional.of(0L) : Optional.ofNullable(Longs.tryParse(key.substring(end + 1)));
    }

    /** Returns the id of the job that a row belongs to. */
    public static String jobOf(String key) {
        int end = key.indexOf(SEPARATOR);
        return end < 0 ? key : key.substring(0, end);
    }

    /**
     * Which occurrences of a recurring job are open: all others that have been opened are done.
     *
     * <p>Immutable.
     *
     * @param opened how many occurrences have been opened, in their order
     * @param open the numbers of those that are open
     */
    public record Occurrences(int opened, List<Integer> open) {
        public Occurrences {
            open = open == null ? List.of() : List.copyOf(open);
        }
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
