package io.pollenreach.daemon.internal.yaml;

import io.pollenreach.ResultCode;

/**
 * A fault at its place in a file.
 *
 * <p>Immutable.
 *
 * @param file the file as the caller named it
 * @param line the line, from 1
 * @param fault what is wrong
 */
public record Problem(String file, int line, Violation fault) {
    /** Returns the kind of fault. */
    public ResultCode code() {
        return fault.code();
    }

    /** Returns the problem on one line: {@code file:line: key: code name: detail}. */
    @Override
    public String toString() {
        String key = fault.path().isEmpty() ? "" : " " + fault.path() + ":";
        return file + ":" + line + ":" + key + " " + code().number() + " " + code().name() + ": " + fault.detail();
    }
}
