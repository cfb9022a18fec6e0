package io.pollenreach.daemon.internal.cli;

import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.log.LogSetup;

/** A command that runs a daemon until the process is told to end. For use by one thread. */
abstract class DaemonCommand extends BaseCommand {
    private static final Events EVENTS = Events.of(DaemonCommand.class);
    private static final Map<String, Level> LEVELS =
            Map.of("debug", Level.FINE, "info", Level.INFO, "warning", Level.WARNING);

    @Option(name = "--settings", title = "FILE", description = "The settings, a YAML file.")
    @Required
    String settings;

    @Option(name = "--log-level", title = "LEVEL", description = "debug, info or warning. Default: info.")
    String logLevel = "info";

    @Override
    final int run(Console console) throws Exception {
        Level level = LEVELS.get(logLevel.toLowerCase(Locale.ROOT));
        if (level == null) {
            throw new UsageException("--log-level must be debug, info or warning.");
        }
        LogSetup.start(level);
        AutoCloseable daemon = start(Path.of(settings));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> close(daemon), "shutdown"));
        new CountDownLatch(1).await();
        return ResultCode.OK.exitStatus();
    }

    /** Starts the daemon with the settings of a file. */
    abstract AutoCloseable start(Path file) throws Exception;

    private static void close(AutoCloseable daemon) {
        EVENTS.info("shutdown-started");
        try {
            daemon.close();
            EVENTS.info("shutdown-done");
        } catch (Exception e) {
            EVENTS.warn("shutdown-failed", "error", e);
        }
        LogSetup.flush();
    }
}
