package io.pollenreach.internal.jobs;

import io.pollenreach.JobState;
import io.pollenreach.ResultCode;

/**
 * Why a placed job is being stopped, and which state follows once it has stopped.
 *
 * <p>Immutable.
 */
public enum StopReason {
    /** A caller cancelled the job. */
    CANCEL(ResultCode.CANCELLED, false) {
        @Override
        public JobState nextState(JobRecord job) {
            return JobState.CANCELLED;
        }
    },
    /** Its accelerators were reclaimed for guaranteed work. */
    RECLAIM(ResultCode.LOST_NOT_RESTARTABLE, false) {
        @Override
        public JobState nextState(JobRecord job) {
            return restartOrFail(job);
        }
    },
    /** The parts could not be prepared, or the start timed out; nothing has run. */
    NOT_STARTED(ResultCode.OK, false) {
        @Override
        public JobState nextState(JobRecord job) {
            return JobState.WAITING;
        }
    },
    /** A worker was lost, or a part stopped although nobody had ordered it. */
    PART_LOST(ResultCode.LOST_NOT_RESTARTABLE, true) {
        @Override
        public JobState nextState(JobRecord job) {
            return restartOrFail(job);
        }
    },
    /** The task of a part ended with a failure. */
    TASK_FAILED(ResultCode.JOB_FAILED, true) {
        @Override
        public JobState nextState(JobRecord job) {
            return restartOrFail(job);
        }
    };

    private final ResultCode code;
    private final boolean countsAsLost;

    StopReason(ResultCode code, boolean countsAsLost) {
        this.code = code;
        this.countsAsLost = countsAsLost;
    }

    /** Returns the state that follows once no part can run any more. */
    public abstract JobState nextState(JobRecord job);

    /** Returns the result code with which the job ends if it is not restarted. */
    public ResultCode code() {
        return code;
    }

    /** Tells whether the attempt counts as lost, towards the limit {@code maxAttempts} of the job. */
    public boolean countsAsLost() {
        return countsAsLost;
    }

    private static JobState restartOrFail(JobRecord job) {
        boolean attemptsLeft = job.lostAttempts() < job.spec().maxAttempts();
        return job.spec().restartable() && attemptsLeft ? JobState.WAITING : JobState.FAILED;
    }
}
