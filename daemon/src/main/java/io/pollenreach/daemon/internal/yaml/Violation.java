package io.pollenreach.daemon.internal.yaml;

import io.pollenreach.ResultCode;

/**
 * One thing that is wrong with a value.
 *
 * <p>Immutable.
 *
 * @param path the value's place, such as {@code spec.guarantees[0].parts}; empty for the whole document
 * @param code the kind of violation
 * @param detail text for people
 */
public record Violation(String path, ResultCode code, String detail) {}
