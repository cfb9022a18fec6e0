package io.pollenreach.daemon.internal.log;

import java.util.logging.LogManager;

/**
 * Keeps the handlers while the process shuts down.
 *
 * <p>The JDK's own manager drops all handlers in a shutdown hook that runs beside ours, so that what a graceful
 * shutdown says would be lost. The system property {@code java.util.logging.manager} puts this one in place; it must be
 * set before anything touches a logger. Safe for use by many threads.
 */
public final class ShutdownSafeLogManager extends LogManager {
    /** Creates the manager; called by the JDK. */
    public ShutdownSafeLogManager() {}

    /** Does nothing: see the class. */
    @Override
    public void reset() {}
}
