package io.pollenreach.internal.claims;

/**
 * The row that lets a non-idempotent request run at most once.
 *
 * <p>It is created, when there is none, before the request is sent, and binds the request to one life of one target.
 * Its version is the table's. Immutable, but for the body, which nobody writes to.
 *
 * @param requestId the caller's id for the request
 * @param workspace the workspace
 * @param bodySha256 the SHA-256 of the request's method, path and body, in hexadecimal
 * @param target the target's id
 * @param targetAddress where the target's agent listens, as {@code ip:port}
 * @param targetIncarnation the life of the agent that may run the request; no other may
 * @param nonce random text of the entry that created the row, by which it knows its own write
 * @param state where the claim stands
 * @param status the target's HTTP status; 0 without an answer
 * @param contentType the answer's media type; null without an answer
 * @param body the whole answer, when it is small enough for a row; else null
 * @param objectKey the object that holds the whole answer, when it is too large for a row; else null
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

    /** Returns the claim with a whole answer that lies in the object store. */
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
            throw new IllegalStateException("a claim that is " + state + " can't become " + end);
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
