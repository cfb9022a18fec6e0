package io.pollenreach;

/**
 * The numbered outcomes that callers, operators and logs see; docs/RESULT-CODES.md holds the same table.
 *
 * <p>Thousands group the codes: 0 success, 1 bad input, 2 access, 3 requests, 4 jobs and capacity, 5 conflicts, 6
 * platform, 7 between processes. Immutable.
 */
public enum ResultCode {
    OK(0, 200, "Done."),
    MALFORMED(1001, 400, "The body is not well-formed JSON, YAML or MessagePack."),
    UNKNOWN_FIELD(1002, 400, "The declaration has a field that is not known."),
    MISSING_FIELD(1003, 400, "A required field is missing."),
    OUT_OF_RANGE(1004, 400, "A value lies outside its range."),
    BAD_NAME(1005, 400, "A name must be 1 to 63 lower-case letters, digits or hyphens, starting with a letter."),
    TOO_LARGE(1006, 413, "The body is larger than the limit."),
    DUPLICATE_NAME(1007, 400, "Two declarations have the same kind and name."),
    CONTRADICTION(1008, 400, "Two values contradict each other."),
    WRONG_UNIT(1009, 400, "A value has the wrong unit or type."),
    UNKNOWN_KIND(1010, 400, "The kind of the declaration is not known."),
    RESTART_REQUIRED(1011, 409, "The setting takes effect only when the process starts again."),
    UNAUTHENTICATED(2001, 401, "The token is missing or not known."),
    FORBIDDEN(2002, 403, "The token gives no access to this workspace."),
    NOT_FOUND(2003, 404, "There is no such resource."),
    NOT_RUN(3001, 503, "The request was refused; it did not run and no copy of it will run."),
    NOT_ADMITTED(3002, 503, "This copy of the request did not run; another copy may have."),
    OUTCOME_UNKNOWN(3003, 502, "The request may have run; it will not be run again."),
    DEADLINE_PASSED(3004, 504, "The caller's deadline passed before an answer was known."),
    IN_PROGRESS(3005, 409, "The request with this id is already running."),
    TARGET_FAILED(3006, 502, "The target answered with a failure of its own."),
    OVERLOADED(3007, 429, "The workspace has reached its limit of waiting requests."),
    REQUEST_MISMATCH(3008, 409, "The request id was used before with another body."),
    ANSWER_CUT(3009, 502, "The target's answer was cut short."),
    NEVER_RUNNABLE(4001, 422, "No set of workers could ever hold the job's shape."),
    GUARANTEE_INFEASIBLE(4002, 422, "The guarantees of all workspaces do not fit the accelerators together."),
    OVER_QUOTA(4003, 422, "The job's shape is larger than the workspace may use."),
    JOB_FAILED(4004, 200, "The job ran and its task failed."),
    ATTEMPTS_EXHAUSTED(4005, 200, "The job lost its workers more often than it may be restarted."),
    CANCELLED(4006, 200, "The job was cancelled."),
    LOST_NOT_RESTARTABLE(4007, 200, "The job lost a worker and may not be run again."),
    ALREADY_ENDED(4008, 409, "The job has already ended."),
    ALREADY_CANCELLED(4009, 409, "The job was cancelled before it was accepted; it never runs."),
    TOO_MANY_CANCELS(4010, 429, "The workspace cancelled too many ids that have no job; nothing was cancelled."),
    BACKLOG_TOO_LONG(4011, 429, "The backlog is too long for the job to end in useful time; nothing was accepted."),
    TOO_MANY_TASKS(4012, 429, "The scheduler has no room for the job's tasks; nothing was accepted."),
    CONFLICT(5001, 409, "The resource was changed by someone else; read it and try again."),
    EXISTS(5002, 409, "The resource exists already with another content."),
    IN_USE(5003, 409, "The resource is still in use."),
    PLATFORM_UNAVAILABLE(6001, 503, "The platform's store does not answer; nothing was accepted."),
    WRITE_UNKNOWN(6002, 503, "The platform's store did not confirm the write; it may have taken effect."),
    NOT_READY(6003, 503, "This process has not yet learned a configuration."),
    DRAINING(6004, 503, "This process is shutting down."),
    HISTORY_GONE(6005, 503, "The platform's store no longer has the changes after that version."),
    COUNT_UNKNOWN(6006, 503, "The number of waiting jobs is not known at present."),
    NOT_LEADER(6007, 503, "Another entry schedules at present."),
    PEER_UNREACHABLE(7001, 502, "Another process of the system does not answer."),
    PEER_TIMEOUT(7002, 504, "Another process of the system answered too late."),
    BAD_FRAME(7003, 400, "A frame is cut, too long or not readable."),
    WRONG_WIRE_VERSION(7004, 400, "A frame has a wire version that is not known."),
    STALE_ATTEMPT(7005, 409, "The attempt is older than one already seen."),
    NO_CAPACITY(7006, 409, "The accelerators are not free."),
    UNKNOWN_PART(7007, 404, "The agent does not hold this part of the job."),
    INTERNAL(9001, 500, "An unexpected failure; the log has the details.");

    private final int number;
    private final int httpStatus;
    private final String sentence;

    ResultCode(int number, int httpStatus, String sentence) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.sentence = sentence;
    }

    /** Returns the number that stands in answers, logs and the docs. */
    public int number() {
        return number;
    }

    /** Returns the HTTP status that goes with the code. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns the explanation shown to people. */
    public String sentence() {
        return sentence;
    }

    /** Returns the process exit status of the command line: 0 for success, else 10 plus the group of the code. */
    public int exitStatus() {
        return this == OK ? 0 : 10 + number / 1000;
    }
}
