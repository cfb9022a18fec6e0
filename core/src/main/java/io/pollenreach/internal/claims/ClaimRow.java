package io.pollenreach.internal.claims;

/**
 * The stored row that ensures that a non-idempotent request runs at most once.
 *
 * <p>It is created, if none exists, before the request is sent, and binds the request to one incarnation of one target.
 * The table keeps the row's version. Immutable, except that the body array is shared and must not be modified.
 *
 * @param requestId the caller's id for the request
 * @param workspace the workspace
 * @param bodySha256 the SHA-256 of the request's method, path and body, in hexadecimal
 * @param target the target's id
 * @param targetAddress the address on which the target's agent listens, as {@code ip:port}
 * @param targetIncarnation the only incarnation of the agent that may run the request
 * @param nonce random text by which the entry that created the row recognizes its own write
 * @param state the state of the claim
 * @param status the target's HTTP status; 0 without an answer
 * @param contentType the answer's media type; null without an answer
 * @param body the whole answer, if it is small enough for a row; otherwise null
 * @param objectKey the object that holds the whole answer, if it is too large for a row; otherwise null
 */
public record ClaimRow(
        String requestId,
        String workspace,
        String bodySha256,
        String target,
        String targetAddress,
        long targetIncarnation,
        String nonce,
        ClaimState state,
        int status,
        String contentType,
        byte[] body,
        String objectKey) {
    /** Creates a claim that has no outcome yet. */
    public static ClaimRow create(
            String requestId,
            String workspace,
            String bodySha256,
            String target,
            String targetAddress,
            long targetIncarnation,
            String nonce) {
        return new ClaimRow(
                requestId,
                workspace,
                bodySha256,
                target,
                targetAddress,
                targetIncarnation,
                nonce,
                ClaimState.CLAIMED,
                0,
                null,
                null,
                null);
    }

    /** Returns the row's key in table {@code claims}. */
    public String key() {
        return RequestTable.key(workspace, requestId);
    }

    /** Returns the claim with a whole answer that fits into the row. */
    public ClaimRow answered(int answerStatus, String answerType, byte[] answer) {
        return end(ClaimState.ANSWERED, answerStatus, answerType, answer, null);
    }

    /** Returns the claim with a whole answer that is kept in the object store. */
    public ClaimRow answeredAt(int answerStatus, String answerType, String answerObject) {
        return end(ClaimState.ANSWERED, answerStatus, answerType, null, answerObject);
    }

    /** Returns the claim of a request that never ran and never will. */
    public ClaimRow refused() {
        return end(ClaimState.REFUSED, 0, null, null, null);
    }

    /** Returns the claim of a request that may have run. */
    public ClaimRow unknown() {
        return end(ClaimState.UNKNOWN, 0, null, null, null);
    }

    private ClaimRow end(ClaimState end, int endStatus, String endType, byte[] endBody, String endObject) {
        if (!state.next().contains(end)) {
            throw new IllegalStateException("claim state cannot change from " + state + " to " + end);
        }
        return new ClaimRow(
                requestId,
                workspace,
                bodySha256,
                target,
                targetAddress,
                targetIncarnation,
                nonce,
                end,
                endStatus,
                endType,
                endBody,
                endObject);
    }
}
