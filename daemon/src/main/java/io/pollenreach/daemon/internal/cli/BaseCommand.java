package io.pollenreach.daemon.internal.cli;

import com.github.rvesse.airline.annotations.Option;

/** A command of the command line. For use by one thread. */
abstract class BaseCommand {
    // Airline has no say in this one: CommandLine looks for it first, so that it works next to missing arguments.
    @Option(
            name = {"-h", "--help"},
            description = "Shows this help.")
    boolean help;

    /**
     * Runs the command.
     *
     * @return the exit status of the process
     */
    abstract int run(Console console) throws Exception;
}
