package io.pollenreach.systemtest;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.pollenreach.bench.standin.HistoryEntry;
import io.pollenreach.bench.standin.HistoryEvent;

/**
 * The life of one task at a worker's runtime.
 *
 * <p>Immutable.
 *
 * @param job the job's key, {@code workspace/name}
 * @param attempt the attempt's number
 * @param rank the part's rank
 * @param worker the worker
 * @param accelerators how many it held
 * @param heldMs when it was created
 * @param startMs when it began to run; {@link #NEVER} when it did not
 * @param endMs when it ended; {@link #NEVER} when it did not
 * @param state how it ended; empty when it did not
 */
record TaskRun(
        String job,
        int attempt,
        int rank,
        String worker,
        int accelerators,
        long heldMs,
        long startMs,
        long endMs,
        String state) {
    static final long NEVER = Long.MAX_VALUE;

    boolean ran() {
        return startMs != NEVER;
    }

    boolean succeeded() {
        return "SUCCEEDED".equals(state);
    }

    /** Reads the lives of all tasks from a platform's history. */
    static List<TaskRun> of(List<HistoryEntry> history) {
        Map<String, TaskRun> runs = new LinkedHashMap<>();
        for (HistoryEntry e : history) {
            if (e.event() instanceof HistoryEvent.TaskHeld held) {
                runs.put(held.worker() + " " + held.task(), held(held, e.monotonicMs()));
            }
            if (e.event() instanceof HistoryEvent.TaskStarted s) {
                runs.computeIfPresent(s.worker() + " " + s.task(), (k, r) -> r.started(e.monotonicMs()));
            }
            if (e.event() instanceof HistoryEvent.TaskEnded end) {
                runs.computeIfPresent(end.worker() + " " + end.task(), (k, r) -> r.ended(e.monotonicMs(), end.state()));
            }
        }
        return new ArrayList<>(runs.values());
    }

    // The agent names a task after workspace, job, attempt and rank, with dots between; names hold no dots.
    private static TaskRun held(HistoryEvent.TaskHeld held, long atMs) {
        String[] words = held.task().split("\\.");
        if (words.length != 4) {
            throw new IllegalArgumentException("not the name of a part: " + held.task());
        }
        return new TaskRun(
                words[0] + "/" + words[1],
                Integer.parseInt(words[2]),
                Integer.parseInt(words[3]),
                held.worker(),
                held.accelerators(),
                atMs,
                NEVER,
                NEVER,
                "");
    }

    private TaskRun started(long atMs) {
        return new TaskRun(job, attempt, rank, worker, accelerators, heldMs, atMs, endMs, state);
    }

    private TaskRun ended(long atMs, String how) {
        return new TaskRun(job, attempt, rank, worker, accelerators, heldMs, startMs, atMs, how);
    }
}
