package io.pollenreach.internal.wire;

/**
 * Answers with a numbered failure.
 *
 * <p>Direction: any. Immutable.
 *
 * @param code the number of the result code
 * @param field the field at fault; may be null
 * @param detail text for people
 */
public record Failure(int code, String field, String detail) implements Message {}
