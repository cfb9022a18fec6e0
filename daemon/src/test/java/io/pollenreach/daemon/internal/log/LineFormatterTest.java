package io.pollenreach.daemon.internal.log;

import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LineFormatterTest {
    @Test
    void keepsAnEventOnOneLineOfPairs() {
        LogRecord record = new LogRecord(Level.INFO, Events.format("placement", "reason", "a \"b\"\nc", "job", "x/y"));
        record.setLoggerName("io.pollenreach.Placement");

        assertThat(new LineFormatter().format(record))
                .startsWith("ts=")
                .endsWith(" level=INFO logger=Placement event=placement reason=\"a \\\"b\\\" c\" job=x/y"
                        + System.lineSeparator());
    }

    @Test
    void quotesWhatLibrariesSay() {
        LogRecord record = new LogRecord(Level.WARNING, "pool closed\nbye");
        record.setThrown(new IllegalStateException("x\ny"));

        String line = new LineFormatter().format(record);

        assertThat(line.strip().lines()).hasSize(1);
        assertThat(line)
                .contains("event=log message=\"pool closed bye\" thrown=\"java.lang.IllegalStateException: x y");
    }
}
