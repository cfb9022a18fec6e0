package io.pollenreach.bench.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the workers saw, and what of it breaks a promise.
 *
 * <p>Safe for use by many threads.
 */
public final class RunRecord {
    private final Map<String, String> runningWhere = new HashMap<>();
    private final Set<String> doneAndNoted = new HashSet<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final Map<String, Integer> lapses = new HashMap<>();
    private final Map<String, Set<String>> startedOn = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    synchronized void started(String task, int run, String worker, int usedAccelerators, int accelerators) {
        starts.merge(task, 1, Integer::sum);
        startedOn.computeIfAbsent(task, t -> new HashSet<>()).add(worker);
        String other = runningWhere.put(task, worker);
        if (other != null) {
            violations.add(task + " run " + run + " started on " + worker + " while it ran on " + other);
        }
        if (doneAndNoted.contains(task)) {
            violations.add(task + " run " + run + " started on " + worker + " after a noted end");
        }
        if (usedAccelerators > accelerators) {
            violations.add(worker + " was told to hold " + usedAccelerators + " of " + accelerators);
        }
    }

    synchronized void ended(String task) {
        runningWhere.remove(task);
    }

    /** Records that a run ended because its lease ran out. */
    synchronized void lapsed(String task) {
        lapses.merge(task, 1, Integer::sum);
    }

    synchronized void noted(String task) {
        doneAndNoted.add(task);
    }

    /** Returns how often a task was started. */
    public synchronized int starts(String task) {
        return starts.getOrDefault(task, 0);
    }

    /** Returns how many runs of a task ended because their lease ran out. */
    public synchronized int lapses(String task) {
        return lapses.getOrDefault(task, 0);
    }

    /** Returns the workers on which a task was started. */
    public synchronized Set<String> workers(String task) {
        return Set.copyOf(startedOn.getOrDefault(task, Set.of()));
    }

    /** Returns how many tasks ran at least once. */
    public synchronized int tasks() {
        return starts.size();
    }

    /** Returns everything that broke a promise. */
    public synchronized List<String> violations() {
        return List.copyOf(violations);
    }
}
