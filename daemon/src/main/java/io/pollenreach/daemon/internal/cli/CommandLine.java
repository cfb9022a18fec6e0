package io.pollenreach.daemon.internal.cli;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.yaml.ProblemsException;

/**
 * Parses the command line and runs the command that it names.
 *
 * <p>Exit statuses are those of {@link ResultCode#exitStatus()}. For use by one thread.
 */
public final class CommandLine {
    private static final List<String> HELP_WORDS = List.of("-h", "--help", "help");

    private final Console console;
    private final Cli<BaseCommand> cli;

    /** Creates a command line that writes to a console. */
    public CommandLine(Console console) {
        this.console = console;
        cli = build();
    }

    private static Cli<BaseCommand> build() {
        CliBuilder<BaseCommand> builder = Cli.<BaseCommand>builder("pollenreach")
                .withDescription("Schedules multi-accelerator jobs under workspace guarantees.")
                .withCommands(List.of(
                        EntryCommand.class,
                        AgentCommand.class,
                        CheckCommand.class,
                        ApplyCommand.class,
                        GetCommand.class,
                        WatchCommand.class,
                        SubmitCommand.class,
                        CancelCommand.class,
                        DrainCommand.class,
                        RequestCommand.class,
                        WhereCommand.class,
                        ExplainCommand.class,
                        StatusCommand.class));
        return builder.build();
    }

    /**
     * Runs one command.
     *
     * @param args the arguments of the process
     * @return the exit status of the process
     */
    public int run(String... args) {
        try {
            if (args.length == 0 || wantsHelp(args)) {
                return showHelp(args);
            }
            return cli.parse(args).run(console);
        } catch (ParseException | UsageException e) {
            console.err().println(e.getMessage());
            console.err().println("Try: pollenreach help");
            return ResultCode.MALFORMED.exitStatus();
        } catch (ProblemsException e) {
            e.problems().forEach(p -> console.err().println(p));
            return e.code().exitStatus();
        } catch (Exception e) {
            PollenreachException failure = PollenreachException.of(e);
            console.err().println(Errors.text(failure));
            return failure.code().exitStatus();
        }
    }

    private static boolean wantsHelp(String... args) {
        return args[0].equals("help") || Arrays.asList(args).contains("--help") || args[0].equals("-h");
    }

    private int showHelp(String... args) throws IOException {
        List<String> words = Arrays.stream(args)
                .filter(a -> !HELP_WORDS.contains(a))
                .takeWhile(a -> !a.startsWith("-"))
                .limit(1)
                .toList();
        Help.help(cli.getMetadata(), words, console.out());
        console.out().flush();
        return ResultCode.OK.exitStatus();
    }
}
