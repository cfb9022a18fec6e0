package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;

/**
 * The occurrences of a job whose tasks are kept: those that are due and not done.
 *
 * <p>Answers the load of schedules with any number of occurrences in the past: a bounded number of a job are open at a time,
 * and the next one opens when one is done or, since occurrences may overlap, has started. The others cost nothing.
 *
 * <p>Invariants: occurrences open in their order and once; each one below {@link #opened()} that is not open is done. The
 * only occurrence of a job that does not recur stays open. Not thread-safe: confined to the scheduler's thread.
 */
final class OpenOccurrences {
    /** Open occurrences of a job; bounds the length of its first row. */
    static final int MAX_OPEN = 1_000;

    /** Open occurrences of a job of which no task was ever placed; bounds the duration of a pass while there is no room. */
    static final int MAX_UNSTARTED = 100;

    private final BatchJob job;
    private final long tasksPerOccurrence;
    private final Map<Integer, List<List<TaskProgress>>> open = new TreeMap<>();
    private int opened;

    OpenOccurrences(BatchJob job) {
        this.job = job;
        tasksPerOccurrence = job.tasksPerOccurrence();
    }

    /** Returns the number of the first occurrence that has not been opened. */
    int opened() {
        return opened;
    }

    /** Returns the numbers of the open occurrences, in their order. */
    Set<Integer> numbers() {
        return open.keySet();
    }

    /** Returns how many tasks the open occurrences have. */
    long taskCount() {
        return open.size() * tasksPerOccurrence;
    }

    Stream<TaskProgress> tasks() {
        return open.values().stream().flatMap(List::stream).flatMap(List::stream);
    }

    /** Returns the steps of each open occurrence, as lists of tasks. */
    Iterable<List<List<TaskProgress>>> steps() {
        return open.values();
    }

    /** Returns the steps of an occurrence; empty if it is not open. */
    Optional<List<List<TaskProgress>>> find(int occurrence) {
        return Optional.ofNullable(open.get(occurrence));
    }

    /** Opens the occurrences that are due, as far as the limits and the budget of the job's workspace allow. */
    void openDue(long wallMs, long nowMs, TaskBudget budget) {
        if (!isNextDue(wallMs)) {
            return;
        }
        long room = Math.min(MAX_OPEN - open.size(), MAX_UNSTARTED - unstarted());
        for (; room > 0 && isNextDue(wallMs) && budget.tryTake(job.workspace(), tasksPerOccurrence); room--) {
            open(opened, nowMs);
            opened++;
        }
    }

    private boolean isNextDue(long wallMs) {
        return opened < job.occurrences() && job.dueMs(opened) <= wallMs;
    }

    private long unstarted() {
        return open.values().stream()
                .filter(steps -> steps.stream().flatMap(List::stream).noneMatch(TaskProgress::wasPlaced))
                .count();
    }

    private void open(int occurrence, long nowMs) {
        List<List<TaskProgress>> steps = new ArrayList<>();
        for (int s = 0; s < job.steps().size(); s++) {
            List<TaskProgress> tasks = new ArrayList<>();
            for (int i = 0; i < job.steps().get(s).taskCount(); i++) {
                tasks.add(new TaskProgress(new TaskId(job.id(), occurrence, s, i), nowMs));
            }
            steps.add(tasks);
        }
        open.put(occurrence, steps);
    }

    /** Restores which occurrences an earlier scheduler had open, without the progress of their tasks. */
    void restore(ProgressRow.Occurrences stored, long nowMs) {
        boolean possible = stored.opened() <= job.occurrences()
                && stored.open().size() <= MAX_OPEN
                && stored.open().stream().allMatch(k -> k >= 0 && k < stored.opened());
        if (!possible) {
            throw new PollenreachException(
                    ResultCode.OUT_OF_RANGE,
                    "occurrences",
                    "job " + job.id() + " has " + job.occurrences() + " occurrences; a row tells of " + stored.opened()
                            + ", " + stored.open().size() + " of them open");
        }
        opened = stored.opened();
        stored.open().forEach(k -> open(k, nowMs));
    }

    /** Restores occurrences up to one whose number is known from a row of an earlier version, which does not tell them. */
    void restoreUpTo(int last, long nowMs) {
        for (; opened <= last; opened++) {
            open(opened, nowMs);
        }
    }

    /** Closes the occurrences that are done. */
    void closeDone() {
        if (job.recurrence() != null) {
            open.values().removeIf(OpenOccurrences::isDone);
        }
    }

    /** Closes an occurrence if it is done. */
    void closeIfDone(int occurrence) {
        if (job.recurrence() != null) {
            find(occurrence).filter(OpenOccurrences::isDone).ifPresent(steps -> open.remove(occurrence));
        }
    }

    /** Closes all occurrences, done or not. */
    void closeAll() {
        open.clear();
    }

    /** Tells whether all occurrences are done. */
    boolean allDone() {
        return opened == job.occurrences() && open.values().stream().allMatch(OpenOccurrences::isDone);
    }

    private static boolean isDone(List<List<TaskProgress>> steps) {
        return steps.stream().allMatch(OpenOccurrences::isStepDone);
    }

    static boolean isStepDone(List<TaskProgress> tasks) {
        return tasks.stream().allMatch(t -> t.state() == TaskProgress.State.DONE);
    }

    /** Returns which occurrences are open, to be stored; empty for a job that does not recur. */
    Optional<ProgressRow.Occurrences> toRow() {
        return job.recurrence() == null
                ? Optional.empty()
                : Optional.of(new ProgressRow.Occurrences(opened, List.copyOf(open.keySet())));
    }
}
