package io.pollenreach.internal.wire;

/**
 * Answers a message that needs no other answer.
 *
 * <p>Direction: any. Immutable.
 */
public record Ack() implements Message {}
