package second;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, with milliseconds since the start. Thread-safe. */
final class Recorder {
    private final long startNs = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    synchronized void log(String line) {
        lines.add(String.format("%8d ms  %s", nowMs(), line));
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void write(Path file) throws IOException {
        Files.write(file, lines);
    }
}
