package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;

/**
 * A job and the progress of its tasks.
 *
 * <p>Invariants: a step's tasks become ready only when all its preceding steps are done; the members
 * of a gang carry the same run number, failures and checkpoint; the phase of an ended job never changes; an occurrence of a
 * recurring job that is done takes no memory and no row, and the tasks of an ended job none once its end is stored. Not
 * thread-safe: confined to the scheduler's thread.
 */
public final class JobProgress {
    /** Is told of each change of a job's phase. */
    @FunctionalInterface
    interface PhaseListener {
        /** Handles a change to the job's present phase from the one before. */
        void phaseChanged(JobProgress job, JobPhase before);
    }

    private final BatchJob job;
    private final long sequence;
    private final long acceptedMs;
    private final long tasksPerOccurrence;
    private final OpenOccurrences occurrences;
    /** The stored rows by their numbers; empty for a job that never needs a second one. */
    private Map<Long, ProgressRow> storedRows = Map.of();
    /** The keys of the stored rows, once the end of the job was stored. */
    private List<String> endedRowKeys = List.of();

    private JobPhase phase = JobPhase.QUEUED;
    private PhaseListener phaseListener = (job, before) -> {};
    private long endedMs;
    private String immediateFailureWorker = "";

    /**
     * Creates the progress of a newly accepted job.
     *
     * @param job the job
     * @param sequence the store's version of the job's row; older jobs have smaller ones
     * @param acceptedMs when the scheduler learned of the job, by its monotonic clock
     */
    public JobProgress(BatchJob job, long sequence, long acceptedMs) {
        this.job = job;
        this.sequence = sequence;
        this.acceptedMs = acceptedMs;
        tasksPerOccurrence = job.tasksPerOccurrence();
        occurrences = new OpenOccurrences(job);
    }

    /**
     * Restores the progress of a job from its stored rows, by their keys; fails if one is null because it could not be
     * read, or if the first one is not among them.
     *
     * <p>Rows of an earlier version may hold more tasks than one row does now.
     */
    public static JobProgress fromRows(BatchJob job, long sequence, Map<String, ProgressRow> rowsByKey, long nowMs) {
        return fromRows(job, sequence, rowsByKey, nowMs, nowMs);
    }

    static JobProgress fromRows(
            BatchJob job, long sequence, Map<String, ProgressRow> rowsByKey, long acceptedMs, long nowMs) {
        JobProgress progress = new JobProgress(job, sequence, acceptedMs);
        ProgressRow first = RequiredField.of(rowsByKey.get(job.id()), "the first row of progress");
        rowsByKey.forEach((key, row) -> RequiredField.of(row, key));
        progress.phase = first.phase();
        progress.endedMs = nowMs;
        Optional<ProgressRow.Occurrences> stored = Optional.ofNullable(first.occurrences());
        stored.ifPresent(o -> progress.occurrences.restore(o, nowMs));
        rowsByKey.values().forEach(row -> row.tasks().forEach(t -> progress.restoreTask(t, stored.isPresent(), nowMs)));
        progress.occurrences.closeDone();
        if (progress.mayNeedSeveralRows()) {
            progress.storedRows = new TreeMap<>();
            rowsByKey.forEach((key, row) -> ProgressRow.numberOf(key).ifPresent(n -> progress.storedRows.put(n, row)));
        }
        return progress;
    }

    private void restoreTask(ProgressRow.TaskRow t, boolean occurrencesKnown, long nowMs) {
        checkRange(job, t);
        if (!occurrencesKnown) {
            occurrences.restoreUpTo(t.occurrence(), nowMs);
        }
        TaskId id = new TaskId(job.id(), t.occurrence(), t.step(), t.index());
        // A row of an occurrence that is done may be left if its removal was not stored.
        occurrences.find(t.occurrence()).ifPresent(steps -> steps.get(t.step())
                .set(t.index(), TaskProgress.fromRow(t, id, nowMs)));
    }

    private static void checkRange(BatchJob job, ProgressRow.TaskRow t) {
        boolean known = t.occurrence() >= 0
                && t.occurrence() < job.occurrences()
                && t.step() >= 0
                && t.step() < job.steps().size()
                && t.index() >= 0
                && t.index() < job.steps().get(t.step()).taskCount();
        if (!known) {
            String task = t.occurrence() + "." + t.step() + "." + t.index();
            throw new PollenreachException(
                    ResultCode.OUT_OF_RANGE, "tasks", "job " + job.id() + " has no task " + task);
        }
    }

    /** Returns the rows that differ from those that were stored, by their keys, the first one in any case. */
    Map<String, ProgressRow> changedRows() {
        Map<String, ProgressRow> changed = new LinkedHashMap<>();
        Map<Long, ProgressRow> rows = rows();
        rows.forEach((number, row) -> {
            ProgressRow stored = storedRows.get(number);
            if (number == 0 || stored == null || !stored.tasks().equals(row.tasks())) {
                changed.put(ProgressRow.key(job.id(), number), row);
            }
        });
        return changed;
    }

    /** Returns the keys of stored rows whose tasks all belong to occurrences that are done. */
    Set<String> outdatedKeys() {
        Set<Long> outdated = new TreeSet<>(storedRows.keySet());
        outdated.removeAll(rowNumbers());
        return keys(outdated);
    }

    /** Records that all changed rows were stored; the tasks of a job that has ended are not needed any more. */
    void committed() {
        if (phase.ended()) {
            endedRowKeys = rowKeys();
            storedRows = Map.of();
            occurrences.closeAll();
        } else if (mayNeedSeveralRows()) {
            // The first row is written with every change, so it need not be compared.
            storedRows = rows();
        }
    }

    private boolean mayNeedSeveralRows() {
        return tasksPerOccurrence * job.occurrences() > ProgressRow.MAX_TASKS;
    }

    /** Returns the keys of all rows that may be stored for this job, the first one first. */
    List<String> rowKeys() {
        if (!endedRowKeys.isEmpty()) {
            return endedRowKeys;
        }
        Set<Long> all = new TreeSet<>(storedRows.keySet());
        all.addAll(rowNumbers());
        return List.copyOf(keys(all));
    }

    private Set<String> keys(Set<Long> numbers) {
        Set<String> keys = new LinkedHashSet<>();
        numbers.forEach(n -> keys.add(ProgressRow.key(job.id(), n)));
        return keys;
    }

    private Set<Long> rowNumbers() {
        Set<Long> numbers = new HashSet<>();
        numbers.add(0L);
        tasks().filter(TaskProgress::wasPlaced).forEach(t -> numbers.add(rowOf(t.id())));
        return numbers;
    }

    /** Returns the rows to store by their numbers, without empty ones but with the first one. */
    private Map<Long, ProgressRow> rows() {
        Map<Long, List<ProgressRow.TaskRow>> tasksByRow = new TreeMap<>();
        tasksByRow.put(0L, new ArrayList<>());
        tasks().filter(TaskProgress::wasPlaced).forEach(t -> tasksByRow
                .computeIfAbsent(rowOf(t.id()), n -> new ArrayList<>())
                .add(t.toRow()));
        Map<Long, ProgressRow> rows = new TreeMap<>();
        tasksByRow.forEach((number, tasks) -> rows.put(
                number,
                number == 0
                        ? new ProgressRow(
                                phase, tasks, job.owner(), occurrences.toRow().orElse(null))
                        : new ProgressRow(phase, tasks, null)));
        return rows;
    }

    private long rowOf(TaskId id) {
        long before = id.occurrence() * tasksPerOccurrence + id.index();
        for (StepSpec s : job.steps().subList(0, id.step())) {
            before += s.taskCount();
        }
        return before / ProgressRow.MAX_TASKS;
    }

    /** Returns the job as it was submitted. */
    public BatchJob job() {
        return job;
    }

    /** Returns the job's phase. */
    public JobPhase phase() {
        return phase;
    }

    /** Sets the listener that is told of all later changes of the phase. */
    void setPhaseListener(PhaseListener listener) {
        phaseListener = listener;
    }

    private void setPhase(JobPhase next) {
        JobPhase before = phase;
        phase = next;
        phaseListener.phaseChanged(this, before);
    }

    long sequence() {
        return sequence;
    }

    long acceptedMs() {
        return acceptedMs;
    }

    long endedMs() {
        return endedMs;
    }

    /** Returns the tasks of the open occurrences. */
    Stream<TaskProgress> tasks() {
        return occurrences.tasks();
    }

    /** Returns how many tasks the open occurrences have. */
    long taskCount() {
        return occurrences.taskCount();
    }

    /** Returns the numbers of the open occurrences, in their order. */
    Set<Integer> openOccurrences() {
        return occurrences.numbers();
    }

    /** Returns the number of the first occurrence that has not been opened. */
    int nextOccurrence() {
        return occurrences.opened();
    }

    StepSpec spec(TaskId id) {
        return job.steps().get(id.step());
    }

    /** Returns the tasks of the step of a task whose occurrence is open. */
    List<TaskProgress> step(TaskId id) {
        return occurrences.find(id.occurrence()).orElseThrow().get(id.step());
    }

    /** Returns the tasks of a step of the first occurrence; none while that is not open. */
    List<TaskProgress> stepTasks(int step) {
        return occurrences.find(0).map(steps -> steps.get(step)).orElse(List.of());
    }

    /** Finds a task of an open occurrence. */
    Optional<TaskProgress> find(TaskId id) {
        return occurrences
                .find(id.occurrence())
                .filter(steps -> id.step() < steps.size()
                        && id.index() < steps.get(id.step()).size())
                .map(steps -> steps.get(id.step()).get(id.index()));
    }

    /** Opens the occurrences that are due, as far as the budget allows. */
    void openDueOccurrences(long wallMs, long nowMs, TaskBudget budget) {
        occurrences.openDue(wallMs, nowMs, budget);
    }

    /** Returns the steps, as lists of tasks, whose predecessors are done and that are not done themselves. */
    List<List<TaskProgress>> readySteps() {
        List<List<TaskProgress>> ready = new ArrayList<>();
        for (List<List<TaskProgress>> steps : occurrences.steps()) {
            // Many steps may come after one that has many tasks, so each is looked over once.
            boolean[] done = new boolean[steps.size()];
            for (int s = 0; s < done.length; s++) {
                done[s] = OpenOccurrences.isStepDone(steps.get(s));
                boolean unblocked = job.steps().get(s).after().stream().allMatch(a -> done[a]);
                if (unblocked && !done[s]) {
                    ready.add(steps.get(s));
                }
            }
        }
        return ready;
    }

    /**
     * Records that a task failed at its start; tells whether all such failures of the job were on this worker.
     * Otherwise the job itself is the likely cause.
     */
    boolean recordImmediateFailure(String worker) {
        if (immediateFailureWorker.isEmpty()) {
            immediateFailureWorker = worker;
        }
        return immediateFailureWorker.equals(worker);
    }

    /** Saves a task's checkpoint; a gang's members all resume from the newest one of any of them. */
    void saveCheckpoint(TaskProgress task, String checkpoint) {
        if (spec(task.id()).gang()) {
            step(task.id()).forEach(m -> m.saveCheckpoint(checkpoint));
        } else {
            task.saveCheckpoint(checkpoint);
        }
    }

    /** Records that a worker started a task; tells whether it is the first of the job. */
    boolean markStarted() {
        if (phase != JobPhase.QUEUED) {
            return false;
        }
        setPhase(JobPhase.RUNNING);
        return true;
    }

    /** Closes an occurrence if it is done, and completes the job if all are. */
    void completeWhenDone(int occurrence, long nowMs) {
        occurrences.closeIfDone(occurrence);
        if (occurrences.allDone()) {
            end(JobPhase.COMPLETED, nowMs);
        }
    }

    void end(JobPhase endPhase, long nowMs) {
        if (!phase.ended()) {
            endedMs = nowMs;
            setPhase(endPhase);
        }
    }
}
