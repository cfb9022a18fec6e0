package io.pollenreach.internal.intake;

import java.util.Optional;

import io.pollenreach.ResultCode;

/**
 * The progress of one call that writes a row under a condition: which step comes next, and what the caller is told in the
 * end.
 *
 * <p>Invariant: once a write of the call may have taken effect, or may yet do so, the call no longer ends as refused; only
 * what is read afterwards can then tell the caller more than {@code WRITE_UNKNOWN}. Rows are read only after such a write
 * or after one whose condition did not hold, so a failed read never shows that nothing was stored. Not thread-safe: the
 * steps of a call follow each other.
 */
public final class PendingWrite {
    /** What a call does next. Immutable. */
    public enum Step {
        /** Write the row under its condition. */
        WRITE,
        /** Read what the condition is about. */
        READ,
        /** Tell the caller the {@link #answer()}. */
        ANSWER
    }

    /** Whether a write of this call has taken effect or may yet do so. */
    private boolean mayTakeEffect;
    /** Whether a write met rows that have not been read since; another call may have stored what the caller asks for. */
    private boolean conflictUnread;

    private ResultCode answer = ResultCode.PLATFORM_UNAVAILABLE;

    /**
     * Records how a write of the call ended.
     *
     * @param outcome what the store's answer tells
     * @param timeLeft whether the call may go on trying
     */
    public Step recordWrite(WriteOutcome outcome, boolean timeLeft) {
        if (outcome == WriteOutcome.APPLIED) {
            return end(ResultCode.OK);
        }
        mayTakeEffect |= outcome == WriteOutcome.UNKNOWN;
        conflictUnread |= outcome == WriteOutcome.CONDITION_FAILED;
        if (conflictUnread) {
            return Step.READ;
        }
        if (timeLeft) {
            return Step.WRITE;
        }
        return mayTakeEffect ? Step.READ : end(ResultCode.PLATFORM_UNAVAILABLE);
    }

    /**
     * Records that the rows were read.
     *
     * @param verdict what they tell the caller; empty if the row is still to be written
     * @param timeLeft whether the call may go on trying
     */
    public Step recordRead(Optional<ResultCode> verdict, boolean timeLeft) {
        conflictUnread = false;
        if (verdict.isPresent()) {
            return end(verdict.get());
        }
        return timeLeft ? Step.WRITE : endUnresolved();
    }

    /** Records that the rows could not be read. */
    public Step recordFailedRead(boolean timeLeft) {
        return timeLeft ? Step.READ : endUnresolved();
    }

    private Step endUnresolved() {
        boolean doubtful = mayTakeEffect || conflictUnread;
        return end(doubtful ? ResultCode.WRITE_UNKNOWN : ResultCode.PLATFORM_UNAVAILABLE);
    }

    private Step end(ResultCode code) {
        answer = code;
        return Step.ANSWER;
    }

    /**
     * Returns what the caller is told: {@code OK} when the row was written, the verdict of a read,
     * {@code PLATFORM_UNAVAILABLE} when no write of the call can have taken effect, {@code WRITE_UNKNOWN} otherwise.
     */
    public ResultCode answer() {
        return answer;
    }
}
