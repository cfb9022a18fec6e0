package io.pollenreach.internal.intake;

import java.util.Optional;
import java.util.OptionalInt;

import io.pollenreach.ResultCode;

/**
 * Whether a job is admitted, and on what grounds.
 *
 * <p>Immutable.
 *
 * @param reason why the job is admitted or refused
 * @param expectedWaitMs the expected wait for room, in milliseconds; 0 if it was not computed
 * @param leftMs how long the job may wait until it can no longer be completed in useful time, in milliseconds; 0 if it
 *     was not computed
 * @param retryAfterS after how many seconds the job may be sent again with hope; empty if it need not be
 */
public record AdmissionVerdict(Reason reason, long expectedWaitMs, long leftMs, OptionalInt retryAfterS) {
    /** The grounds of a decision. Immutable. */
    public enum Reason {
        /** The figures are missing, old or impossible. */
        UNKNOWN_BACKLOG,
        /** The entry has admitted the id before. */
        ADMITTED_BEFORE,
        /** Too few jobs of the queue are known to judge how long they take. */
        UNKNOWN_CHAIN,
        /** Load does not matter to the job: it has no objective, recurs, or runs until it is cancelled. */
        UNLIMITED,
        /** The job is within the guarantee of its workspace. */
        GUARANTEED,
        /** The job may be completed in useful time. */
        IN_TIME,
        /** A task needs more of a resource than any worker of the pool has had. */
        NEVER_FITS(ResultCode.NEVER_RUNNABLE),
        /** Room comes too late, even if work goes faster than expected. */
        PAST_USE(ResultCode.BACKLOG_TOO_LONG),
        /** Room is expected too late, and the workspace has more than its share of the work that waits. */
        BEYOND_SHARE(ResultCode.BACKLOG_TOO_LONG),
        /** The scheduler has no room for the job's tasks beside those of the workspace and of all. */
        TOO_MANY_TASKS(ResultCode.TOO_MANY_TASKS);

        private final ResultCode code;

        Reason() {
            this(null);
        }

        Reason(ResultCode code) {
            this.code = code;
        }

        /** Returns the result code of the refusal; empty if the job is admitted. */
        public Optional<ResultCode> refusal() {
            return Optional.ofNullable(code);
        }
    }

    static AdmissionVerdict of(Reason reason) {
        return new AdmissionVerdict(reason, 0, 0, OptionalInt.empty());
    }

    /** Tells whether the job is refused. */
    public boolean isRefusal() {
        return reason.refusal().isPresent();
    }
}
