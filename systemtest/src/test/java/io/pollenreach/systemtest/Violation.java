package io.pollenreach.systemtest;

/**
 * Something in a history that must never happen.
 *
 * <p>Immutable.
 *
 * @param check the check that found it
 * @param subject the job, request, worker or process that it concerns
 * @param detail what was seen
 */
record Violation(Check check, String subject, String detail) {
    /** What is checked. Immutable. */
    enum Check {
        GANG_ALL_OR_NOTHING,
        ONE_ATTEMPT_ALIVE,
        WORKER_WITHIN_CAPACITY,
        AT_MOST_ONCE,
        REFUSED_NEVER_RAN,
        JOB_REACHES_END,
        JOB_TRANSITION,
        ANSWER_MATCHES_REQUEST,
        CONFIG_NEVER_REVERTS
    }
}
