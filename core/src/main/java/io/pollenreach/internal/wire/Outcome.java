package io.pollenreach.internal.wire;

/**
 * What became of a request at an agent.
 *
 * <p>Immutable. Only {@link #REFUSED} promises that the runner never saw a byte of the request.
 */
public enum Outcome {
    /** The runner answered; status and body are the whole answer. */
    ANSWERED,
    /** Refused before the runner saw the first byte; the agent will refuse later copies too. */
    REFUSED,
    /** Still running. */
    RUNNING,
    /** The runner may have run it and gave no whole answer. */
    UNKNOWN,
    /** The agent has never heard of the request. */
    NEVER_SEEN
}
