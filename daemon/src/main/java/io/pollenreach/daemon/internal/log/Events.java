package io.pollenreach.daemon.internal.log;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

import io.pollenreach.PollenreachException;

/**
 * Writes events to {@code System.Logger}, one line of key=value pairs each.
 *
 * <p>Immutable, so safe for use by many threads.
 *
 * <pre>{@code
 * events.info("placement", "job", key, "workers", ids, "reason", reason);
 * // event=placement job=shop-a/cut-17 workers=w1,w2 reason="one rack"
 * }</pre>
 */
public final class Events {
    private final Logger logger;

    private Events(Logger logger) {
        this.logger = logger;
    }

    /** Returns the events of a class. */
    public static Events of(Class<?> type) {
        return new Events(System.getLogger(type.getName()));
    }

    /** Writes an event that is part of normal work. */
    public void info(String event, Object... keysAndValues) {
        write(Level.INFO, event, keysAndValues);
    }

    /** Writes an event that an operator should know about. */
    public void warn(String event, Object... keysAndValues) {
        write(Level.WARNING, event, keysAndValues);
    }

    /** Writes the failure of a call that was about something, with the failure's code and message. */
    public void failure(String event, String key, Object value, PollenreachException e) {
        warn(event, key, value, "code", e.code().number(), "error", e.getMessage());
    }

    /** Writes an event that matters only to developers. */
    public void debug(String event, Object... keysAndValues) {
        write(Level.DEBUG, event, keysAndValues);
    }

    private void write(Level level, String event, Object... keysAndValues) {
        if (logger.isLoggable(level)) {
            logger.log(level, format(event, keysAndValues));
        }
    }

    static String format(String event, Object... keysAndValues) {
        return "event=" + event + pairs(keysAndValues);
    }

    static String pairs(Object... keysAndValues) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
            line.append(' ').append(keysAndValues[i]).append('=').append(quote(String.valueOf(keysAndValues[i + 1])));
        }
        return line.toString();
    }

    private static String quote(String value) {
        boolean plain = !value.isEmpty()
                && value.chars().allMatch(c -> c > ' ' && c != '"' && c != '=' && c != '\\' && c != 0x7f);
        if (plain) {
            return value;
        }
        StringBuilder quoted = new StringBuilder("\"");
        value.chars().forEach(c -> appendEscaped(quoted, (char) c));
        return quoted.append('"').toString();
    }

    private static void appendEscaped(StringBuilder out, char c) {
        if (c == '"' || c == '\\') {
            out.append('\\').append(c);
            return;
        }
        // Keeps an event on one line whatever the value holds.
        out.append(Character.isISOControl(c) ? ' ' : c);
    }
}
