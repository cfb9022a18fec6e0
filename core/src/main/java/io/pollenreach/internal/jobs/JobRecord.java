package io.pollenreach.internal.jobs;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.pollenreach.JobSpec;
import io.pollenreach.JobState;
import io.pollenreach.ResultCode;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Part;

/**
 * The content of a job's row.
 *
 * <p>Immutable; each transition returns a new record and refuses one that {@link JobState#next()} does not allow.
 * Invariants: {@code parts} is empty exactly while the job is not placed; {@code stopReason} is set exactly while it is
 * stopping; a terminal record never changes.
 *
 * @param spec what was declared
 * @param state where the job stands
 * @param attempt the number of the newest attempt, 0 before the first
 * @param nonce the text that names the newest placement
 * @param parts the places of the newest attempt while it is placed
 * @param borrowed whether the newest attempt runs outside the workspace's guarantee
 * @param lostAttempts attempts lost to failures
 * @param stopReason why it is being stopped; null otherwise
 * @param code the number of the result code of the end or of the last stop
 * @param detail text for people
 * @param submittedAtMs wall-clock time of the submission
 * @param waitingSinceMs wall-clock time since which it waits
 * @param startedAtMs wall-clock time at which the newest attempt was let run, 0 before
 * @param endedAtMs wall-clock time of the end, 0 before
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

    /** Creates the record of a new job. */
    public static JobRecord submit(JobSpec spec, long wallMs) {
        return new JobRecord(
                spec, JobState.WAITING, 0, "", List.of(), false, 0, null, 0, "submitted", wallMs, wallMs, 0, 0);
    }

    /** Returns the newest attempt. */
    @JsonIgnore
    public AttemptId attemptId() {
        return new AttemptId(spec.key(), attempt, nonce);
    }

    /** Claims the next attempt for a placement; nothing runs yet. */
    public JobRecord place(AttemptId id, List<Part> places, boolean borrow, String why) {
        require(JobState.STARTING);
        if (id.attempt() != attempt + 1) {
            throw new IllegalStateException("attempt " + id.attempt() + " does not follow " + attempt);
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

    /** Lets the attempt run; every part is prepared. */
    public JobRecord run(long wallMs) {
        require(JobState.RUNNING);
        return with(JobState.RUNNING, null, 0, "running", wallMs, 0);
    }

    /** Begins to stop the attempt. */
    public JobRecord stop(StopReason reason, String why) {
        require(JobState.STOPPING);
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

    /** Records that every part has surely stopped, and moves on as the reason says. */
    public JobRecord settle(long wallMs) {
        boolean nothingRan = startedAtMs == 0;
        JobState after = nothingRan && stopReason != StopReason.CANCEL ? JobState.WAITING : stopReason.after(this);
        require(after);
        if (after == JobState.WAITING) {
            return new JobRecord(
                    spec,
                    after,
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
        return with(after, null, endCode().number(), detail, startedAtMs, wallMs);
    }

    /** Records that every part finished with success. */
    public JobRecord succeed(long wallMs) {
        require(JobState.SUCCEEDED);
        return with(JobState.SUCCEEDED, null, 0, "every part succeeded", startedAtMs, wallMs);
    }

    /** Ends a waiting job, or begins to stop a placed one, since somebody cancelled it. */
    public JobRecord cancel(long wallMs) {
        if (state == JobState.WAITING) {
            require(JobState.CANCELLED);
            return with(JobState.CANCELLED, null, ResultCode.CANCELLED.number(), "cancelled", 0, wallMs);
        }
        if (state == JobState.STOPPING) {
            return with(JobState.STOPPING, StopReason.CANCEL, 0, "cancelled", startedAtMs, 0);
        }
        return stop(StopReason.CANCEL, "cancelled");
    }

    /** Ends a waiting job that can never run. */
    public JobRecord refuse(ResultCode why, String text, long wallMs) {
        require(JobState.FAILED);
        return with(JobState.FAILED, null, why.number(), text, 0, wallMs);
    }

    private ResultCode endCode() {
        boolean exhausted = spec.restartable() && lostAttempts >= spec.maxAttempts() && stopReason.countsAsLost();
        boolean lost = stopReason == StopReason.PART_LOST;
        return exhausted && lost ? ResultCode.ATTEMPTS_EXHAUSTED : stopReason.code();
    }

    private JobRecord with(JobState to, StopReason reason, int number, String text, long startMs, long endMs) {
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

    private void require(JobState to) {
        if (!state.next().contains(to)) {
            throw new IllegalStateException("a job can't go from " + state + " to " + to);
        }
    }
}
