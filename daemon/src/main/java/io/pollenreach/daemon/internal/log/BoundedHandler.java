package io.pollenreach.daemon.internal.log;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines from a thread of its own, so that a slow reader never holds up the program.
 *
 * <p>Invariants: publishing never waits; lines that find no room are counted, and the count is written once there is
 * room. Safe for use by many threads.
 */
final class BoundedHandler extends Handler {
    /** Lines that may wait: a few seconds of a busy process, at some hundred bytes each. */
    private static final int MAX_WAITING = 4_096;

    private static final long FLUSH_MS = 500;
    private static final long POLL_MS = 5;

    private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MAX_WAITING);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream out;
    /** Lines that were taken in and are not written yet. */
    private final AtomicLong unwritten = new AtomicLong();

    BoundedHandler(PrintStream out) {
        this.out = out;
        Thread writer = new Thread(this::write, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        unwritten.incrementAndGet();
        if (!waiting.offer(getFormatter().format(record))) {
            unwritten.decrementAndGet();
            dropped.incrementAndGet();
        }
    }

    private void write() {
        StringBuilder batch = new StringBuilder();
        try {
            while (true) {
                batch.append(waiting.take());
                int lines = 1;
                for (String line = waiting.poll(); line != null; line = waiting.poll()) {
                    batch.append(line);
                    lines++;
                }
                long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    batch.append("event=log-lines-dropped count=").append(lost).append(System.lineSeparator());
                }
                out.print(batch);
                out.flush();
                batch.setLength(0);
                unwritten.addAndGet(-lines);
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException("the log writer was interrupted", e);
        }
    }

    /** Waits, for a bounded time, until everything published before is written. */
    @Override
    public void flush() {
        try {
            for (long waited = 0; unwritten.get() > 0 && waited < FLUSH_MS; waited += POLL_MS) {
                Thread.sleep(POLL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        flush();
    }
}
