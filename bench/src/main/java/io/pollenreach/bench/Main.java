package io.pollenreach.bench;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.help.Help;
import io.pollenreach.bench.experiment.ExperimentCommand;
import io.pollenreach.bench.load.HoldCommand;
import io.pollenreach.bench.load.SwarmCommand;
import io.pollenreach.bench.planning.PassesCommand;
import io.pollenreach.bench.planning.PlanningCommand;

/**
 * Runs the stand-ins and the experiments from the command line.
 *
 * <p>Stateless.
 */
@com.github.rvesse.airline.annotations.Cli(
        name = "bench",
        description = "Stand-ins of the platform and of runners, and experiments",
        defaultCommand = Help.class,
        commands = {
            PlatformCommand.class,
            RunnerCommand.class,
            ExperimentCommand.class,
            PlanningCommand.class,
            PassesCommand.class,
            SwarmCommand.class,
            HoldCommand.class,
            Help.class
        })
public final class Main {
    private Main() {}

    /** Parses the arguments and runs the command. */
    public static void main(String[] args) {
        new Cli<Runnable>(Main.class).parse(args).run();
    }
}
