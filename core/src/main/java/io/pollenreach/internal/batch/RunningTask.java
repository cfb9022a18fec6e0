package io.pollenreach.internal.batch;

/**
 * A run that is active, or may be.
 *
 * <p>Immutable.
 *
 * @param run the run
 * @param checkpoint the saved work; empty for none
 * @param percent how much of the work is done, or -1 while the worker has not confirmed the start
 */
public record RunningTask(TaskRun run, String checkpoint, int percent) {
    /** The percentage of a run whose start is not confirmed. */
    public static final int UNCONFIRMED = -1;

    public RunningTask {
        RequiredField.of(run, "run");
        checkpoint = Checkpoint.orNone(checkpoint);
    }

    /** Tells whether the worker has shown that it started the run. */
    boolean isConfirmed() {
        return percent != UNCONFIRMED;
    }
}
