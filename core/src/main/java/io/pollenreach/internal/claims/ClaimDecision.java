package io.pollenreach.internal.claims;

import java.util.Optional;

import io.pollenreach.internal.wire.Outcome;

/**
 * What an entry does next about a non-idempotent request.
 *
 * <p>A pure function of what the entry knows. At most one run follows from three rules: a claim is never moved to another
 * target; a request is only ever sent to the incarnation that the row names, and an agent of another incarnation does
 * not run it; and an agent runs an id once per incarnation, however often it is sent. Immutable.
 */
public enum ClaimDecision {
    /** There is no row: create it, with the same nonce as before if a write of it is in doubt. */
    CLAIM,
    /** Send the request to the target and incarnation in the row. */
    SEND,
    /** Ask the row's target what became of the request. */
    INQUIRE,
    /** Pass on the answer; record it first when the row does not hold it. */
    ANSWER,
    /** Answer that it did not run; record that first when the row does not say so. */
    REFUSE,
    /** Answer that the id was used for another request. */
    MISMATCH,
    /** Answer that the outcome is unknown; record that first when the row does not say so. */
    GIVE_UP_UNKNOWN;

    /**
     * Decides by the row, as read before claiming, after a conflict, or after a write whose answer was lost.
     *
     * @param row the row as read; empty when there is none
     * @param bodySha256 the digest of the request at hand
     * @param nonce the nonce that this entry writes for this request
     * @param sent whether this entry may have sent the request
     */
    public static ClaimDecision onRow(Optional<ClaimRow> row, String bodySha256, String nonce, boolean sent) {
        if (row.isEmpty()) {
            return CLAIM;
        }
        ClaimRow found = row.get();
        if (!found.bodySha256().equals(bodySha256)) {
            return MISMATCH;
        }
        switch (found.state()) {
            case ANSWERED:
                return ANSWER;
            case REFUSED:
                return REFUSE;
            case UNKNOWN:
                return GIVE_UP_UNKNOWN;
            default:
                return found.nonce().equals(nonce) && !sent ? SEND : INQUIRE;
        }
    }

    /**
     * Decides by what the agent answers to {@code OutcomeQuery} or {@code Execute} about a claim without an outcome.
     *
     * <p>Both messages name the incarnation in the row, and an agent of another incarnation answers
     * {@link Outcome#UNKNOWN}: it has forgotten what its predecessor ran.
     *
     * @param outcome what the agent says
     */
    public static ClaimDecision onOutcome(Outcome outcome) {
        switch (outcome) {
            case ANSWERED:
                return ANSWER;
            case REFUSED:
                return REFUSE;
            case RUNNING:
                return INQUIRE;
            case NEVER_SEEN:
                return SEND;
            default:
                return GIVE_UP_UNKNOWN;
        }
    }
}
