package io.pollenreach.internal.wire;

/**
 * Lets a prepared part run; idempotent.
 *
 * <p>Direction: entry to agent. Immutable.
 *
 * @param id the attempt
 * @param rank the part's rank
 */
public record Release(AttemptId id, int rank) implements Message {}
