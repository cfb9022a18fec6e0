package io.pollenreach.daemon.internal.cli;

import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.log.LogSetup;
import io.pollenreach.daemon.internal.process.FatalErrors;
import io.pollenreach.daemon.internal.settings.HangupSignal;
import io.pollenreach.daemon.internal.settings.ReloadableDaemon;
import io.pollenreach.daemon.internal.settings.SettingsReloader;

/**
 * A command that runs a daemon until the process is told to end, and follows its settings file.
 *
 * <p>For use by one thread.
 *
 * @param <T> the settings of the daemon
 */
abstract class DaemonCommand<T extends Record> extends BaseCommand {
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
        HangupSignal hangup = HangupSignal.install();
        Level level = LEVELS.get(logLevel.toLowerCase(Locale.ROOT));
        if (level == null) {
            throw new UsageException("--log-level must be debug, info or warning.");
        }
        LogSetup.start(level);
        FatalErrors.install();
        SettingsReloader<T> reloader = new SettingsReloader<>(Path.of(settings), this::load, liveSettings(), hangup);
        ReloadableDaemon<T> daemon = start(reloader.settings());
        reloader.start(daemon);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> close(daemon), "shutdown"));
        new CountDownLatch(1).await();
        return ResultCode.OK.exitStatus();
    }

    /** Reads and checks a settings file. */
    abstract T load(Path file);

    /** Returns the names of the settings that take effect without a restart. */
    abstract Set<String> liveSettings();

    /** Starts the daemon. */
    abstract ReloadableDaemon<T> start(T settings) throws Exception;

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
