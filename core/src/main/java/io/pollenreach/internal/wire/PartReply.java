package io.pollenreach.internal.wire;

/**
 * Tells where a part stands after the message that it answers.
 *
 * <p>Direction: agent to entry. Immutable.
 *
 * @param part the part
 */
public record PartReply(PartReport part) implements Message {}
