package io.pollenreach.internal.jobs;

import io.pollenreach.JobState;
import io.pollenreach.ResultCode;

/**
 * Why a placed job is being stopped, and what becomes of it afterwards.
 *
 * <p>Immutable.
 */
public enum StopReason {
    /** Somebody cancelled the job. */
    CANCEL(ResultCode.CANCELLED, false) {
        @Override
        public JobState after(JobRecord job) {
            return JobState.CANCELLED;
        }
    },
    /** Its accelerators were reclaimed for guaranteed work. */
    RECLAIM(ResultCode.LOST_NOT_RESTARTABLE, false) {
        @Override
        public JobState after(JobRecord job) {
            return restartOrFail(job);
        }
    },
    /** The placement could not be prepared; nothing has run. */
    NOT_STARTED(ResultCode.OK, false) {
        @Override
        public JobState after(JobRecord job) {
            return JobState.WAITING;
        }
    },
    /** A worker was lost, or a part stopped by itself. */
    PART_LOST(ResultCode.LOST_NOT_RESTARTABLE, true) {
        @Override
        public JobState after(JobRecord job) {
            return restartOrFail(job);
        }
    },
    /** A task ended with a failure of its own. */
    TASK_FAILED(ResultCode.JOB_FAILED, true) {
        @Override
        public JobState after(JobRecord job) {
            return restartOrFail(job);
        }
    };

    private final ResultCode code;
    private final boolean countsAsLost;

    StopReason(ResultCode code, boolean countsAsLost) {
        this.code = code;
        this.countsAsLost = countsAsLost;
    }

    /** Returns the state that follows once every part has surely stopped. */
    public abstract JobState after(JobRecord job);

    /** Returns the code that the job ends with when it may not run again. */
    public ResultCode code() {
        return code;
    }

    /** Tells whether the attempt counts towards the most attempts that a job may lose. */
    public boolean countsAsLost() {
        return countsAsLost;
    }

    private static JobState restartOrFail(JobRecord job) {
        boolean attemptsLeft = job.lostAttempts() < job.spec().maxAttempts();
        return job.spec().restartable() && attemptsLeft ? JobState.WAITING : JobState.FAILED;
    }
}
