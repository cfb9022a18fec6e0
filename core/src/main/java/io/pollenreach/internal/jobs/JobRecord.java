package io.pollenreach.internal.jobs;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.pollenreach.JobSpec;
import io.pollenreach.JobState;
import io.pollenreach.ResultCode;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Part;

/**
 * The stored state of a job: its declaration, its newest attempt and its outcome.
 *
 * <p>Immutable; each transition returns a new record and throws {@link IllegalStateException} if
 * {@link JobState#next()} does not allow it.
 * Invariants: {@code parts} is empty exactly while the job is not placed; {@code stopReason} is set exactly while it is
 * stopping; a record in a terminal state never changes.
 *
 * @param spec the declaration of the job
 * @param state the state in the life cycle of the job
 * @param attempt the number of the newest attempt, 0 before the first
 * @param nonce the random text that identifies the newest placement
 * @param parts the workers and accelerators of the newest attempt while it is placed
 * @param borrowed whether the newest attempt runs outside the workspace's guarantee
 * @param lostAttempts the number of attempts that ended through a failure
 * @param stopReason why the job is being stopped; null in any other state
 * @param code the number of the result code with which the job ended or was last stopped
 * @param detail a description of the last transition for human readers
 * @param submittedAtMs wall-clock time of the submission
 * @param waitingSinceMs wall-clock time at which the job last began to wait
 * @param startedAtMs wall-clock time at which the newest attempt started to run, 0 before
 * @param endedAtMs wall-clock time at which the job ended, 0 before
 */
public record JobRecord(
        JobSpec spec,
        JobState state,
        int attempt,
        String nonce,
        List<Part> parts,
        boolean borrowed,
        int lostAttempts,
        StopReason stopReason,
        int code,
        String detail,
        long submittedAtMs,
        long waitingSinceMs,
        long startedAtMs,
        long endedAtMs) {
    public JobRecord {
        parts = parts == null ? List.of() : List.copyOf(parts);
    }

    /** Creates the record of a newly submitted job, which waits for a placement. */
    public static JobRecord submit(JobSpec spec, long wallMs) {
        return new JobRecord(
                spec, JobState.WAITING, 0, "", List.of(), false, 0, null, 0, "submitted", wallMs, wallMs, 0, 0);
    }

    /** Tells whether a record that was read from a row has all fields that its state and the transitions need. */
    public boolean complete() {
        boolean declared = spec != null && spec.workspace() != null && spec.name() != null && spec.shape() != null;
        boolean shaped = declared && spec.shape().parts() > 0 && spec.shape().acceleratorsPerPart() > 0;
        if (!shaped || state == null || nonce == null) {
            return false;
        }
        boolean located = parts.stream().allMatch(p -> p.worker() != null && p.address() != null);
        return located && state.placed() != parts.isEmpty() && (state == JobState.STOPPING) == (stopReason != null);
    }

    /** Returns the id of the newest attempt. */
    @JsonIgnore
    public AttemptId attemptId() {
        return new AttemptId(spec.key(), attempt, nonce);
    }

    /** Moves to STARTING with the next attempt at the given places; no part runs yet. */
    public JobRecord place(AttemptId id, List<Part> places, boolean borrow, String why) {
        requireTransition(JobState.STARTING);
        if (id.attempt() != attempt + 1) {
            throw new IllegalStateException(
                    "cannot place attempt " + id.attempt() + " of a job whose newest attempt is " + attempt);
        }
        return new JobRecord(
                spec,
                JobState.STARTING,
                id.attempt(),
                id.nonce(),
                places,
                borrow,
                lostAttempts,
                null,
                0,
                why,
                submittedAtMs,
                waitingSinceMs,
                0,
                0);
    }

    /** Moves to RUNNING; the caller has prepared every part. */
    public JobRecord run(long wallMs) {
        requireTransition(JobState.RUNNING);
        return withState(JobState.RUNNING, null, 0, "running", wallMs, 0);
    }

    /** Moves to STOPPING; a failure of a running attempt counts as a lost attempt. */
    public JobRecord stop(StopReason reason, String why) {
        requireTransition(JobState.STOPPING);
        int lost = lostAttempts + (reason.countsAsLost() && state == JobState.RUNNING ? 1 : 0);
        return new JobRecord(
                spec,
                JobState.STOPPING,
                attempt,
                nonce,
                parts,
                borrowed,
                lost,
                reason,
                0,
                why,
                submittedAtMs,
                waitingSinceMs,
                startedAtMs,
                0);
    }

    /**
     * Moves to the state that follows the stop; the caller knows that no part can run any more. A job of which nothing
     * ran waits again, unless it was cancelled.
     */
    public JobRecord confirmStopped(long wallMs) {
        boolean nothingRan = startedAtMs == 0;
        JobState next = nothingRan && stopReason != StopReason.CANCEL ? JobState.WAITING : stopReason.nextState(this);
        requireTransition(next);
        if (next == JobState.WAITING) {
            return new JobRecord(
                    spec,
                    next,
                    attempt,
                    nonce,
                    List.of(),
                    false,
                    lostAttempts,
                    null,
                    0,
                    detail,
                    submittedAtMs,
                    wallMs,
                    0,
                    0);
        }
        return withState(next, null, endCode().number(), detail, startedAtMs, wallMs);
    }

    /** Moves to SUCCEEDED; the caller knows that every part succeeded. */
    public JobRecord succeed(long wallMs) {
        requireTransition(JobState.SUCCEEDED);
        return withState(JobState.SUCCEEDED, null, 0, "every part succeeded", startedAtMs, wallMs);
    }

    /** Cancels the job: a waiting job ends at once, a placed one is stopped first. */
    public JobRecord cancel(long wallMs) {
        if (state == JobState.WAITING) {
            requireTransition(JobState.CANCELLED);
            return withState(JobState.CANCELLED, null, ResultCode.CANCELLED.number(), "cancelled", 0, wallMs);
        }
        if (state == JobState.STOPPING) {
            return withState(JobState.STOPPING, StopReason.CANCEL, 0, "cancelled", startedAtMs, 0);
        }
        return stop(StopReason.CANCEL, "cancelled");
    }

    /** Moves a waiting job that can never run to FAILED. */
    public JobRecord refuse(ResultCode why, String text, long wallMs) {
        requireTransition(JobState.FAILED);
        return withState(JobState.FAILED, null, why.number(), text, 0, wallMs);
    }

    private ResultCode endCode() {
        boolean exhausted = spec.restartable() && lostAttempts >= spec.maxAttempts() && stopReason.countsAsLost();
        boolean lost = stopReason == StopReason.PART_LOST;
        return exhausted && lost ? ResultCode.ATTEMPTS_EXHAUSTED : stopReason.code();
    }

    private JobRecord withState(JobState to, StopReason reason, int number, String text, long startMs, long endMs) {
        List<Part> places = to.placed() ? parts : List.of();
        return new JobRecord(
                spec,
                to,
                attempt,
                nonce,
                places,
                borrowed,
                lostAttempts,
                reason,
                number,
                text,
                submittedAtMs,
                waitingSinceMs,
                startMs,
                endMs);
    }

    private void requireTransition(JobState to) {
        if (!state.next().contains(to)) {
            throw new IllegalStateException("job state " + state + " does not allow a transition to " + to);
        }
    }
}
