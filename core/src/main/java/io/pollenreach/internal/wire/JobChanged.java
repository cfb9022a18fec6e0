package io.pollenreach.internal.wire;

/**
 * Tells a peer that a job row changed, so that it need not wait for its next poll.
 *
 * <p>Direction: entry to entry. Immutable.
 *
 * @param job the job's key
 */
public record JobChanged(String job) implements Message {}
