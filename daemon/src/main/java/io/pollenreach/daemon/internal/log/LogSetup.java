package io.pollenreach.daemon.internal.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Directs the logs of a process to standard output, one line for each event.
 *
 * <p>Third-party libraries are limited to warnings. Called once, before the first event.
 */
public final class LogSetup {
    // A strong reference: the log manager forgets loggers, with their levels, that nobody refers to.
    private static final Logger OURS = Logger.getLogger("io.pollenreach");
    private static final Logger ROOT = Logger.getLogger("");

    private LogSetup() {}

    /** Starts logging of a daemon at a level of {@link Level}. */
    public static void start(Level level) {
        install(level, Level.WARNING);
    }

    /** Silences all logging, for commands whose output is their own. */
    public static void silence() {
        install(Level.OFF, Level.OFF);
    }

    /** Waits a little until what was logged is written; for the end of a process. */
    public static void flush() {
        for (Handler handler : ROOT.getHandlers()) {
            handler.flush();
        }
    }

    private static void install(Level ours, Level thirdParty) {
        for (Handler old : ROOT.getHandlers()) {
            ROOT.removeHandler(old);
        }
        Handler handler = new BoundedHandler(System.out);
        handler.setLevel(Level.ALL);
        handler.setFormatter(new LineFormatter());
        ROOT.addHandler(handler);
        ROOT.setLevel(thirdParty);
        OURS.setLevel(ours);
    }
}
