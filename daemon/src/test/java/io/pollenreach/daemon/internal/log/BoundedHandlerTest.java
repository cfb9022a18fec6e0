package io.pollenreach.daemon.internal.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.junit.jupiter.api.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

class BoundedHandlerTest {
    private static final int MANY = 10_000;

    private static BoundedHandler handler(OutputStream out) {
        BoundedHandler handler = new BoundedHandler(new PrintStream(out, true, UTF_8));
        handler.setLevel(Level.ALL);
        handler.setFormatter(new LineFormatter());
        return handler;
    }

    private static LogRecord event(int number) {
        LogRecord record = new LogRecord(Level.INFO, "event=e number=" + number);
        record.setLoggerName("Test");
        return record;
    }

    // The last lines of a shutdown were lost: the demo missed "shutdown-done" of one process.
    @Test
    void hasWrittenEverythingAfterAFlush() {
        for (int round = 0; round < 200; round++) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            BoundedHandler handler = handler(out);
            handler.publish(event(round));
            handler.flush();
            assertThat(out.toString(UTF_8)).contains("number=" + round);
        }
    }

    @Test
    void neverWaitsForASlowReaderAndCountsWhatItDrops() throws InterruptedException {
        CountDownLatch reading = new CountDownLatch(1);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        BoundedHandler handler = handler(new OutputStream() {
            @Override
            public void write(int b) {
                try {
                    reading.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                out.write(b);
            }
        });

        for (int i = 0; i < MANY; i++) {
            handler.publish(event(i));
        }
        reading.countDown();
        handler.publish(event(MANY));
        handler.flush();

        assertThat(out.toString(UTF_8)).contains("event=log-lines-dropped count=");
    }
}
