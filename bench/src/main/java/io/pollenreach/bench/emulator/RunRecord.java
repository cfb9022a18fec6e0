package io.pollenreach.bench.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import io.pollenreach.Clock;

/**
 * What the workers saw, and what of it breaks a promise.
 *
 * <p>Safe for use by many threads.
 */
public final class RunRecord {
    /**
     * A start that a worker carried out.
     *
     * <p>Immutable.
     *
     * @param task the task
     * @param run the number of its run
     * @param worker the worker
     * @param atMs when, on the clock of this process, in milliseconds
     */
    public record Start(String task, int run, String worker, long atMs) {}

    private final Clock clock = Clock.system();
    private final Map<String, String> runningWhere = new HashMap<>();
    private final Set<String> doneAndNoted = new HashSet<>();
    private final Set<String> notedUnderLease = new HashSet<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final Map<String, Integer> lapses = new HashMap<>();
    private final Map<String, Set<String>> startedOn = new HashMap<>();
    private final List<Start> allStarts = new ArrayList<>();
    private final Map<String, Long> firstDoneMs = new HashMap<>();
    private final Map<String, Set<Integer>> doneRuns = new HashMap<>();
    private final Map<String, Set<Integer>> doneBeforeStart = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final Set<String> afterLapse = new HashSet<>();

    synchronized void started(String task, int run, String worker, int usedAccelerators, int accelerators) {
        starts.merge(task, 1, Integer::sum);
        startedOn.computeIfAbsent(task, t -> new HashSet<>()).add(worker);
        allStarts.add(new Start(task, run, worker, clock.nowMs()));
        doneBeforeStart.computeIfAbsent(task, t -> new HashSet<>()).addAll(doneRuns.getOrDefault(task, Set.of()));
        String other = runningWhere.put(task, worker);
        if (other != null) {
            violations.add(task + " run " + run + " started on " + worker + " while it ran on " + other);
        }
        if (doneAndNoted.contains(task)) {
            String violation = task + " run " + run + " started on " + worker + " after a noted end";
            violations.add(violation);
            if (!notedUnderLease.contains(task)) {
                afterLapse.add(violation);
            }
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

    synchronized void done(String task, int run) {
        doneRuns.computeIfAbsent(task, t -> new HashSet<>()).add(run);
        firstDoneMs.putIfAbsent(task, clock.nowMs());
    }

    /** Takes note of the end of a run; {@code lapsed} tells whether its worker's lease lapsed since. */
    synchronized void noted(String task, int run, boolean lapsed) {
        if (!lapsed && doneBeforeStart.getOrDefault(task, Set.of()).contains(run)) {
            violations.add(task + " was started again after run " + run + " had ended, whose end was noted later");
        }
        doneAndNoted.add(task);
        if (!lapsed) {
            notedUnderLease.add(task);
        }
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

    /** Returns all starts in their order. */
    public synchronized List<Start> starts() {
        return List.copyOf(allStarts);
    }

    /** Returns when a task first ended as done, on the clock of this process in milliseconds. */
    public synchronized OptionalLong doneMs(String task) {
        Long atMs = firstDoneMs.get(task);
        return atMs == null ? OptionalLong.empty() : OptionalLong.of(atMs);
    }

    /** Returns the tasks that run now. */
    public synchronized Set<String> running() {
        return Set.copyOf(runningWhere.keySet());
    }

    /** Returns everything that broke a promise. */
    public synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    /**
     * Returns the same without starts after an end that was noted when its worker's lease had lapsed since the end: the
     * platform does not count such an end as noted.
     */
    public synchronized List<String> violationsUnderLease() {
        return violations.stream().filter(v -> !afterLapse.contains(v)).toList();
    }
}
