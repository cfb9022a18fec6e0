package io.pollenreach.bench.standin;

/**
 * What a runner answers.
 *
 * <p>Immutable.
 *
 * @param requestId the id that came with the request
 * @param workspace the workspace that came with it
 * @param echo the text to echo
 * @param runs how many times this id has run here, this time included
 */
public record RunnerAnswer(String requestId, String workspace, String echo, int runs) {}
