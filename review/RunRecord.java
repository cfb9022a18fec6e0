package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, with the time since the start in milliseconds. Thread-safe. */
final class RunRecord implements AutoCloseable {
    /** One run of a subtask in one life of a runner; {@code endMs} is negative while it runs. */
    static final class Run {
        final String task;
        final int run;
        final String runner;
        final long startMs;
        long endMs = -1;
        String how = "";

        Run(String task, int run, String runner, long startMs) {
            this.task = task;
            this.run = run;
            this.runner = runner;
            this.startMs = startMs;
        }

        @Override
        public String toString() {
            String end = endMs < 0 ? "runs on" : "to " + endMs + " (" + how + ")";
            return task + " run " + run + " on " + runner + " from " + startMs + " " + end;
        }
    }

    private final long originNs = System.nanoTime();
    private final PrintWriter out;
    private final List<Run> runs = new ArrayList<>();

    RunRecord(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long nowMs() {
        return (System.nanoTime() - originNs) / 1_000_000;
    }

    synchronized void note(String text) {
        out.printf("%7d %s%n", nowMs(), text);
        out.flush();
    }

    synchronized Run started(String task, int run, String runner) {
        Run r = new Run(task, run, runner, nowMs());
        runs.add(r);
        note("started " + task + " run " + run + " on " + runner);
        return r;
    }

    synchronized void ended(Run r, String how) {
        r.endMs = nowMs();
        r.how = how;
        note("ended " + r.task + " run " + r.run + " on " + r.runner + " " + how);
    }

    /** Returns the runs so far of all subtasks whose names begin with a prefix. */
    synchronized List<Run> runs(String prefix) {
        return runs.stream().filter(r -> r.task.startsWith(prefix)).toList();
    }

    /** Returns how many subtasks run now. */
    synchronized long running(String prefix) {
        return runs.stream().filter(r -> r.task.startsWith(prefix) && r.endMs < 0).count();
    }

    /** Returns each pair of runs of one subtask that were at work at the same time. */
    synchronized List<String> overlaps() {
        List<String> found = new ArrayList<>();
        for (int i = 0; i < runs.size(); i++) {
            for (int j = i + 1; j < runs.size(); j++) {
                Run a = runs.get(i);
                Run b = runs.get(j);
                boolean together = a.task.equals(b.task)
                        && (a.endMs < 0 || a.endMs > b.startMs)
                        && (b.endMs < 0 || b.endMs > a.startMs);
                if (together) {
                    found.add(a + " | " + b);
                }
            }
        }
        return found;
    }

    @Override
    public void close() {
        out.close();
    }
}
