package io.pollenreach.daemon.internal.log;

import java.util.Arrays;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import java.util.stream.Collectors;

/**
 * Writes a log record as one line of key=value pairs.
 *
 * <p>Stateless, so safe for use by many threads.
 */
final class LineFormatter extends Formatter {
    private static final int MAX_FRAMES = 12;

    @Override
    public String format(LogRecord record) {
        StringBuilder line = new StringBuilder("ts=").append(record.getInstant());
        line.append(" level=").append(record.getLevel().getName());
        line.append(" logger=").append(shortName(record.getLoggerName()));
        String message = formatMessage(record);
        boolean event = message.startsWith("event=");
        line.append(' ').append(event ? message : Events.format("log", "message", message));
        if (record.getThrown() != null) {
            line.append(Events.pairs("thrown", describe(record.getThrown())));
        }
        return line.append(System.lineSeparator()).toString();
    }

    private static String shortName(String logger) {
        return logger == null ? "" : logger.substring(logger.lastIndexOf('.') + 1);
    }

    private static String describe(Throwable thrown) {
        String frames = Arrays.stream(thrown.getStackTrace())
                .limit(MAX_FRAMES)
                .map(StackTraceElement::toString)
                .collect(Collectors.joining(" < "));
        String cause = thrown.getCause() == null ? "" : " caused by " + thrown.getCause();
        return thrown + cause + " at " + frames;
    }
}
