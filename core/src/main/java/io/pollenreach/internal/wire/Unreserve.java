package io.pollenreach.internal.wire;

/**
 * Gives a reservation back; does nothing when it has lapsed or was never made.
 *
 * <p>Direction: entry to agent. Immutable.
 *
 * @param id the attempt
 * @param rank the part's rank
 */
public record Unreserve(AttemptId id, int rank) implements Message {}
