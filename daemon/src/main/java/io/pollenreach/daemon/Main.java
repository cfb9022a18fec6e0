package io.pollenreach.daemon;

import io.pollenreach.daemon.internal.cli.CommandLine;
import io.pollenreach.daemon.internal.cli.Console;
import io.pollenreach.daemon.internal.log.ShutdownSafeLogManager;

/**
 * The program {@code pollenreach}: both daemons and the commands of operators.
 *
 * <p>Holds no state.
 */
public final class Main {
    private Main() {}

    /** Runs the command that the arguments name; the exit status is that of its result code. */
    public static void main(String[] args) {
        System.setProperty("java.util.logging.manager", ShutdownSafeLogManager.class.getName());
        System.exit(new CommandLine(Console.system()).run(args));
    }
}
