package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The jobs that a scheduler knows, by id and, while they have not ended, by the order of their acceptance.
 *
 * <p>Invariant: every job that has not ended is among {@link #active()}. Not thread-safe: confined to the scheduler's
 * thread.
 */
final class JobTable {
    /** How long a removed job is remembered, in milliseconds; an older view of the store is not delivered. */
    private static final long REMEMBERED_MS = 120_000;

    /** A removed job: the version of its row, and when it was removed. Immutable. */
    private record Forgotten(long sequence, long removedMs) {}

    private final Map<String, JobProgress> byId = new LinkedHashMap<>();
    private final Map<String, Forgotten> forgotten = new HashMap<>();
    private final WaitingCounts waiting = new WaitingCounts();

    // Jobs whose rows were written in one transaction share their sequence.
    private final SortedSet<JobProgress> active = new TreeSet<>(Comparator.comparingLong(JobProgress::sequence)
            .thenComparing(j -> j.job().id()));

    void add(JobProgress job) {
        byId.put(job.job().id(), job);
        active.add(job);
        waiting.add(job);
    }

    /** Returns a job; null for one that is not known. */
    JobProgress get(String id) {
        return byId.get(id);
    }

    Map<String, JobProgress> byId() {
        return Collections.unmodifiableMap(byId);
    }

    /** Returns the jobs that have not ended, oldest first. */
    Collection<JobProgress> active() {
        active.removeIf(j -> j.phase().ended());
        return Collections.unmodifiableSortedSet(active);
    }

    /** Finds the task that a run belongs to, if it is the task's current run. */
    Optional<TaskProgress> findPlaced(TaskRun run) {
        return Optional.ofNullable(byId.get(run.task().job()))
                .flatMap(j -> j.find(run.task()))
                .filter(t -> t.state() == TaskProgress.State.PLACED && t.run() == run.run());
    }

    /** Returns the number of accepted jobs that have not started, by queue; recurring jobs are not counted. */
    Map<String, Integer> waitingByQueue() {
        return waiting.byQueue();
    }

    /** Returns the jobs that ended before a time and whose id fulfils a condition. */
    List<JobProgress> endedBefore(long timeMs, Predicate<String> condition) {
        List<JobProgress> ended = new ArrayList<>();
        for (JobProgress job : byId.values()) {
            if (job.phase().ended()
                    && job.endedMs() < timeMs
                    && condition.test(job.job().id())) {
                ended.add(job);
            }
        }
        return ended;
    }

    /** Removes a job, and remembers the version of its row for a while. */
    void forget(String id, long nowMs) {
        JobProgress removed = byId.remove(id);
        forgotten.values().removeIf(f -> f.removedMs() < nowMs - REMEMBERED_MS);
        if (removed != null) {
            forgotten.put(id, new Forgotten(removed.sequence(), nowMs));
        }
    }

    /** Tells whether a row, by its version, is that of a job that has been removed, and not of a new one with its id. */
    boolean wasForgotten(String id, long sequence) {
        Forgotten f = forgotten.get(id);
        return f != null && sequence <= f.sequence();
    }
}
