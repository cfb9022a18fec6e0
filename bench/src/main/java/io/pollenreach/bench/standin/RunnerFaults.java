package io.pollenreach.bench.standin;

/**
 * The faults of a runner.
 *
 * <p>Immutable.
 *
 * @param slowMs how much longer each request takes, in milliseconds
 * @param cutAnswers percent of the answers that are cut in the middle
 * @param lateAnswers percent of the answers that come three seconds late
 * @param freezeMs for how long from now on nothing starts and nothing is answered, in milliseconds
 * @param seed the seed of the choice of the answers
 */
public record RunnerFaults(long slowMs, int cutAnswers, int lateAnswers, long freezeMs, long seed) {
    static final RunnerFaults NONE = new RunnerFaults(0, 0, 0, 0, 0);
}
