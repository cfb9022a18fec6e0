package io.pollenreach.internal.wire;

/**
 * Answers whether the peer has not started the request and never will.
 *
 * <p>Direction: entry to entry. Immutable.
 *
 * @param neverStarts false when the peer has already started it
 */
public record TombstoneReply(boolean neverStarts) implements Message {}
