package io.pollenreach.internal.batch;

/**
 * How far one task is.
 *
 * <p>Invariant: a task that is placed names the worker and the run; run numbers only rise. Not safe for use by many
 * threads: the scheduler's thread owns it.
 */
final class TaskProgress {
    /** Where the task stands. Immutable. */
    enum State {
        WAITING,
        PLACED,
        DONE
    }

    private static final int WHOLE = 100;

    private final TaskId id;
    private State state = State.WAITING;
    private int run;
    private int failures;
    /** The newest run of which an end was taken, and the newest that counted as a failure; 0 for none. */
    private int endedRun;

    private int failedRun;
    private String worker = "";
    private String checkpoint = "";
    private String failedOn = "";
    private long waitingSinceMs;
    private long placedMs;
    /** The first and the newest progress that the worker reported of this run, and when; a percentage, or unknown. */
    private int firstPercent = RunningTask.UNCONFIRMED;

    private long firstPercentMs;
    private int percent = RunningTask.UNCONFIRMED;
    private long percentMs;

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
        return task;
    }

    ProgressRow.TaskRow toRow() {
        return new ProgressRow.TaskRow(
                id.occurrence(), id.step(), id.index(), state, run, failures, worker, checkpoint, endedRun, failedRun);
    }

    /** Tells whether the task differs from one that was never placed. */
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
     * Tells whether the end of a run still counts though it was told to stop: it may have finished before the stop came,
     * and the task is not placed again before its worker has listed the end. An end that was taken does not count again,
     * though a restarted worker may report it once more.
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
        // Without saved work a run begins at nothing; otherwise its first report tells where.
        firstPercent = checkpoint.isEmpty() ? 0 : RunningTask.UNCONFIRMED;
        firstPercentMs = nowMs;
        percent = RunningTask.UNCONFIRMED;
    }

    /** Notes how far the present run is. */
    void recordProgress(int reported, long nowMs) {
        if (reported == RunningTask.UNCONFIRMED) {
            return;
        }
        if (firstPercent == RunningTask.UNCONFIRMED) {
            firstPercent = reported;
            firstPercentMs = nowMs;
        }
        percent = reported;
        percentMs = nowMs;
    }

    /** Tells whether the present run is fully at work. */
    boolean isFullyRunning() {
        return state == State.PLACED && percent == WHOLE;
    }

    /**
     * Returns how long the present run will probably go on, in milliseconds: at its pace so far, or by the estimate while
     * the pace is not known, and as long again as it has run once that has passed.
     */
    long remainingMs(long estimatedMs, long nowMs) {
        if (percent > firstPercent) {
            long perPercentMs = (percentMs - firstPercentMs) / (percent - firstPercent);
            return Math.max(0, (WHOLE - percent) * perPercentMs - (nowMs - percentMs));
        }
        long ranMs = nowMs - placedMs;
        return ranMs < estimatedMs ? estimatedMs - ranMs : ranMs;
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

    /** Counts a failure; several members of a gang may list one for the same run. */
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
