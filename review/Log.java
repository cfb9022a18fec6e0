package third;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Records what was sent, answered and run. Safe for use by many threads. */
final class Log {
    record Event(long atMs, String what, String runner, String task, int run, String how) {}

    private final long startNs = System.nanoTime();
    private final PrintWriter out;
    private final List<Event> events = new ArrayList<>();

    Log(Path file) throws Exception {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void line(String format, Object... args) {
        String s = String.format("%8d ms  ", nowMs()) + String.format(format, args);
        out.println(s);
        System.out.println(s);
    }

    synchronized void run(String what, String runner, String task, int run, String how) {
        events.add(new Event(nowMs(), what, runner, task, run, how));
        out.println(String.format("%8d ms  %s %s run %d on %s %s", nowMs(), what, task, run, runner, how));
    }

    synchronized List<Event> runs(String jobPrefix) {
        return events.stream().filter(e -> e.task().startsWith(jobPrefix)).toList();
    }

    synchronized List<Event> runs() {
        return List.copyOf(events);
    }
}
