package io.pollenreach.internal.intake;

import java.util.Optional;

import io.pollenreach.ResultCode;
import io.pollenreach.internal.batch.JobOwner;

/**
 * The progress of one call that hands in a job: which step comes next, and what the caller is told in the end.
 *
 * <p>Invariant: once a write of the call may have taken effect, or may yet do so, the call no longer ends as refused; only
 * the row itself can then tell the caller more than {@code WRITE_UNKNOWN}. The row is read only after such a write or
 * after one that found it to exist, so a failed read never shows that nothing was stored. Not thread-safe: the steps of a
 * call follow each other.
 */
public final class Submission {
    /** What a call does next. Immutable. */
    public enum Step {
        /** Write the job's row on the condition that it does not exist. */
        WRITE,
        /** Read the job's row. */
        READ,
        /** Tell the caller the {@link #answer()}. */
        ANSWER
    }

    private final JobOwner caller;
    private boolean mayBeStored;
    private ResultCode answer = ResultCode.PLATFORM_UNAVAILABLE;

    /** Creates the progress of a call that has sent nothing yet. */
    public Submission(JobOwner caller) {
        this.caller = caller;
    }

    /**
     * Records how a write of the call ended.
     *
     * @param outcome what the store's answer tells
     * @param timeLeft whether the call may go on trying
     */
    public Step recordWrite(WriteOutcome outcome, boolean timeLeft) {
        mayBeStored |= outcome != WriteOutcome.REFUSED;
        if (outcome == WriteOutcome.APPLIED) {
            return end(ResultCode.OK);
        }
        if (outcome == WriteOutcome.CONDITION_FAILED) {
            return Step.READ;
        }
        if (timeLeft) {
            return Step.WRITE;
        }
        return mayBeStored ? Step.READ : end(ResultCode.PLATFORM_UNAVAILABLE);
    }

    /**
     * Records that the row was read.
     *
     * @param row what the row holds; empty if there is none
     * @param timeLeft whether the call may go on trying
     */
    public Step recordRead(Optional<StoredJob> row, boolean timeLeft) {
        if (row.isPresent()) {
            return end(row.get().isOf(caller) ? ResultCode.OK : ResultCode.EXISTS);
        }
        return timeLeft ? Step.WRITE : end(ResultCode.WRITE_UNKNOWN);
    }

    /** Records that the row could not be read. */
    public Step recordFailedRead(boolean timeLeft) {
        return timeLeft ? Step.READ : end(ResultCode.WRITE_UNKNOWN);
    }

    private Step end(ResultCode code) {
        answer = code;
        return Step.ANSWER;
    }

    /**
     * Returns what the caller is told: {@code OK} when its job is stored, {@code EXISTS} when the id is another caller's,
     * {@code PLATFORM_UNAVAILABLE} when no write of the call can have taken effect, {@code WRITE_UNKNOWN} otherwise.
     */
    public ResultCode answer() {
        return answer;
    }

    /**
     * A job's row as it was read.
     *
     * <p>Immutable.
     *
     * @param owner who the job belongs to; empty if the row cannot be read
     */
    public record StoredJob(Optional<JobOwner> owner) {
        private boolean isOf(JobOwner caller) {
            return owner.isPresent() && owner.get().admits(caller);
        }
    }
}
