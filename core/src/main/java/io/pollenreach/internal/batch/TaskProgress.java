package io.pollenreach.internal.batch;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * The progress of one task.
 *
 * <p>Invariant: a placed task has a worker and a run; run numbers only increase. Not thread-safe: confined to the
 * scheduler's thread.
 */
final class TaskProgress {
    /** The state of a task. Immutable. */
    enum State {
        WAITING,
        PLACED,
        DONE
    }

    static final int FULL_PERCENT = 100;

    /** Typical time from a placement to the start of its run and from its end to the report of it, in milliseconds. */
    private static final long START_DELAY_MS = 200;

    /** The work that a run must have done for its rate of progress to be measured, in percent. */
    private static final int MIN_MEASURED_PERCENT = 25;

    /** The work from which on the rate of progress tells the remaining time, in percent; the start takes time as well. */
    private static final int MIN_EXTRAPOLATED_PERCENT = 10;

    private final TaskId id;
    private State state = State.WAITING;
    private int run;
    private int failures;
    /** The newest run whose end was recorded, and the newest that counted as a failure; 0 for none. */
    private int endedRun;

    private int failedRun;
    private String worker = "";
    private String checkpoint = "";
    private String failedOn = "";
    private long waitingSinceMs;
    private long placedMs;
    /** The first and the newest progress reported for the current run, as a percentage or unconfirmed, and when. */
    private int firstPercent = RunningTask.UNCONFIRMED;

    private long firstPercentMs;
    private int percent = RunningTask.UNCONFIRMED;
    private long percentMs;
    /** When a report first showed the current run, and when its progress last grew. */
    private long confirmedMs;

    private long progressedMs;
    /** Since when only claims for other tasks have kept this one waiting. */
    private OptionalLong heldBackSinceMs = OptionalLong.empty();
    /** Whether the current run was observed, to learn from it. */
    private boolean observed;

    TaskProgress(TaskId id, long nowMs) {
        this.id = id;
        waitingSinceMs = nowMs;
    }

    static TaskProgress fromRow(ProgressRow.TaskRow row, TaskId id, long nowMs) {
        TaskProgress task = new TaskProgress(id, nowMs);
        task.state = row.state();
        task.run = row.run();
        task.failures = row.failures();
        task.worker = row.worker();
        task.checkpoint = row.checkpoint();
        task.endedRun = row.endedRun();
        task.failedRun = row.failedRun();
        task.placedMs = nowMs;
        task.firstPercentMs = nowMs;
        return task;
    }

    ProgressRow.TaskRow toRow() {
        return new ProgressRow.TaskRow(
                id.occurrence(), id.step(), id.index(), state, run, failures, worker, checkpoint, endedRun, failedRun);
    }

    /** Tells whether the task was placed at least once. */
    boolean wasPlaced() {
        return run > 0;
    }

    TaskId id() {
        return id;
    }

    State state() {
        return state;
    }

    int run() {
        return run;
    }

    TaskRun taskRun() {
        return new TaskRun(id, run);
    }

    int failures() {
        return failures;
    }

    String worker() {
        return worker;
    }

    String checkpoint() {
        return checkpoint;
    }

    /** Returns the worker on which the task failed last; empty for none. */
    String failedOn() {
        return failedOn;
    }

    long waitingSinceMs() {
        return waitingSinceMs;
    }

    long placedMs() {
        return placedMs;
    }

    boolean isPlacedAs(String name, int number) {
        return state == State.PLACED && run == number && worker.equals(name);
    }

    /**
     * Tells whether the end of a run still counts although the run was ordered to stop. The run may have finished
     * before the stop arrived, and the task is not placed again before its worker has reported the end. An end
     * that was recorded does not count again, although a restarted worker may report it once more.
     */
    boolean awaitsEndOf(int number) {
        return state == State.WAITING && run == number && endedRun != number;
    }

    void recordEnd() {
        endedRun = run;
    }

    void place(String name, int number, long nowMs) {
        state = State.PLACED;
        worker = name;
        run = number;
        placedMs = nowMs;
        // Without a checkpoint a run starts at 0 percent; otherwise its first report tells where it resumed.
        firstPercent = checkpoint.isEmpty() ? 0 : RunningTask.UNCONFIRMED;
        firstPercentMs = nowMs;
        percent = RunningTask.UNCONFIRMED;
        observed = false;
        heldBackSinceMs = OptionalLong.empty();
    }

    /**
     * Records whether only claims for other tasks keep this one waiting now; returns for how long on end they have, in
     * milliseconds.
     */
    long recordHeldBack(boolean heldBack, long nowMs) {
        if (!heldBack) {
            heldBackSinceMs = OptionalLong.empty();
            return 0;
        }
        long sinceMs = heldBackSinceMs.orElse(nowMs);
        heldBackSinceMs = OptionalLong.of(sinceMs);
        return nowMs - sinceMs;
    }

    /** Records the reported progress of the current run. */
    void recordProgress(int reported, long nowMs) {
        if (reported == RunningTask.UNCONFIRMED) {
            return;
        }
        if (firstPercent == RunningTask.UNCONFIRMED) {
            firstPercent = reported;
            firstPercentMs = nowMs;
        }
        if (percent == RunningTask.UNCONFIRMED) {
            confirmedMs = nowMs;
        }
        if (reported > percent) {
            progressedMs = nowMs;
        }
        percent = reported;
        percentMs = nowMs;
    }

    /** Tells whether a report has shown the current run at work. */
    boolean isConfirmed() {
        return state == State.PLACED && percent != RunningTask.UNCONFIRMED;
    }

    boolean observed() {
        return observed;
    }

    void markObserved() {
        observed = true;
    }

    /** Returns how much of the work the current run has done itself, in percent; 0 if that is not known. */
    int progressMade() {
        return firstPercent == RunningTask.UNCONFIRMED ? 0 : percent - firstPercent;
    }

    /** Returns for how long the current run's progress is known, in milliseconds. */
    long progressSeenMs(long nowMs) {
        return nowMs - firstPercentMs;
    }

    /**
     * Returns how long the task would take from its beginning, at the rate of its current run up to a percentage that
     * it has reached now; empty if the run has not done enough itself.
     */
    OptionalDouble extrapolatedMs(int reached, long nowMs) {
        if (firstPercent == RunningTask.UNCONFIRMED || reached - firstPercent < MIN_MEASURED_PERCENT) {
            return OptionalDouble.empty();
        }
        long delayMs = firstPercentMs == placedMs && firstPercent == 0 ? START_DELAY_MS : 0;
        double ranMs = Math.max(1, nowMs - firstPercentMs - delayMs);
        return OptionalDouble.of(ranMs * FULL_PERCENT / (reached - firstPercent));
    }

    /**
     * Returns a time that the task takes at least from its beginning, in milliseconds: as long as its current run was seen
     * to make progress; empty if it was not, or has resumed with too little of the work left.
     */
    OptionalDouble atLeastMs() {
        int left = FULL_PERCENT - firstPercent;
        boolean seen = percent != RunningTask.UNCONFIRMED && progressedMs > confirmedMs;
        if (!seen || left < MIN_MEASURED_PERCENT) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of((progressedMs - confirmedMs) * (double) FULL_PERCENT / left);
    }

    /** Returns how long ago the progress of the current run was reported last, in milliseconds. */
    long progressAgeMs(long nowMs) {
        return nowMs - percentMs;
    }

    /** Tells whether the current run reports 100 percent; a long-running task then serves requests. */
    boolean isFullyRunning() {
        return state == State.PLACED && percent == FULL_PERCENT;
    }

    /**
     * Returns the expected remaining time of the current run, in milliseconds. Extrapolates the reported progress, or
     * while its rate is not known, goes by what is expected of a run that has taken so long.
     *
     * @param speed the worker's speed
     */
    long remainingMs(RunTimes.Expectation expected, double speed, long nowMs) {
        if (percent - firstPercent >= MIN_EXTRAPOLATED_PERCENT) {
            long perPercentMs = (percentMs - firstPercentMs) / (percent - firstPercent);
            return Math.max(0, (FULL_PERCENT - percent) * perPercentMs - (nowMs - percentMs));
        }
        double share = Math.max(1, FULL_PERCENT - Math.max(0, firstPercent)) / (double) FULL_PERCENT;
        return Math.round(expected.remainingMs(share, (nowMs - firstPercentMs) * speed) / speed);
    }

    void finish() {
        state = State.DONE;
        worker = "";
    }

    void requeue(long nowMs) {
        state = State.WAITING;
        worker = "";
        waitingSinceMs = nowMs;
    }

    /** Tells whether the current run has failed. */
    boolean hasFailed() {
        return failedRun == run;
    }

    /** Counts a failure of the current run, once even if several members of a gang report it. */
    void recordFailure(String name) {
        if (failedRun != run) {
            failures++;
            failedRun = run;
        }
        failedOn = name;
    }

    void saveCheckpoint(String saved) {
        if (!saved.isEmpty()) {
            checkpoint = saved;
        }
    }
}
