package io.pollenreach.daemon.internal.cli;

import java.io.PrintStream;
import java.util.Map;

/**
 * Where a command reads its surroundings and writes its output.
 *
 * <p>Immutable; the streams are safe for use by many threads.
 *
 * @param out takes results
 * @param err takes errors and progress
 * @param environment environment variables
 */
public record Console(PrintStream out, PrintStream err, Map<String, String> environment) {
    /** Returns the console of this process. */
    public static Console system() {
        return new Console(System.out, System.err, System.getenv());
    }
}
