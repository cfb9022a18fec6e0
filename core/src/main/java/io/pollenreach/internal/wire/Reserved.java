package io.pollenreach.internal.wire;

/**
 * Answers a reservation that was granted; a refusal is a failure with a result code.
 *
 * <p>Direction: agent to entry. Immutable.
 *
 * @param id the attempt
 * @param rank the part's rank
 */
public record Reserved(AttemptId id, int rank) implements Message {}
