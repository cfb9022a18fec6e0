package io.pollenreach.systemtest;

/**
 * What a caller sent and what it got.
 *
 * <p>Immutable.
 *
 * @param workspace the workspace
 * @param requestId the caller's id
 * @param idempotent whether it may run more than once
 * @param echo the text that the runner was asked to echo
 * @param code the numbered result code; -1 when no answer came
 * @param body the body of the answer; empty when none came
 */
record CallerReply(String workspace, String requestId, boolean idempotent, String echo, int code, String body) {
    static final int NO_ANSWER = -1;

    boolean answered() {
        return code == 0;
    }
}
