package io.pollenreach.internal.intake;

import java.util.Optional;

import io.pollenreach.ResultCode;
import io.pollenreach.internal.batch.JobOwner;

/**
 * What the store has of an id for which a job is handed in.
 *
 * <p>The withdrawal is read before the job: a job that is missing after a withdrawal was seen cannot be written any more.
 * Immutable.
 *
 * @param withdrawal who cancelled the id before its job was stored
 * @param job the job's row; empty if there is none
 */
public record SubmissionRows(Withdrawal withdrawal, Optional<StoredJob> job) {
    /**
     * A job's row.
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

    /**
     * Returns what a caller that hands in a job is told: {@code OK} if it is stored, {@code EXISTS} if the id is another
     * caller's, {@code ALREADY_CANCELLED} if the caller cancelled it before; empty if the job is still to be written.
     */
    public Optional<ResultCode> verdictFor(JobOwner caller) {
        if (job.isPresent()) {
            return Optional.of(job.get().isOf(caller) ? ResultCode.OK : ResultCode.EXISTS);
        }
        return withdrawal.appliesTo(caller) ? Optional.of(ResultCode.ALREADY_CANCELLED) : Optional.empty();
    }
}
