package io.pollenreach.internal.batch;

/**
 * The end of a run, as reported by its worker.
 *
 * <p>Immutable.
 *
 * @param number rises with each end of one worker's incarnation; 0 for {@link EndKind#REFUSED}, which workers
 *     do not report as a numbered end
 * @param run the run
 * @param kind how the run ended
 * @param checkpoint the saved work; empty for none
 */
public record RunEnd(long number, TaskRun run, EndKind kind, String checkpoint) {
    public RunEnd {
        RequiredField.of(run, "run");
        RequiredField.of(kind, "kind");
        checkpoint = Checkpoint.orNone(checkpoint);
    }
}
