package io.pollenreach.internal.batch;

/**
 * The end of a run, as its worker listed it.
 *
 * <p>Immutable.
 *
 * @param number rises with each end of one worker's incarnation; 0 for {@link EndKind#REFUSED}, which workers do not list
 * @param run the run
 * @param kind how it ended
 * @param checkpoint the saved work; empty for none
 */
public record RunEnd(long number, TaskRun run, EndKind kind, String checkpoint) {}
