package io.pollenreach.internal.claims;

import java.util.Optional;

import io.pollenreach.internal.wire.Outcome;

/**
 * The next step of an entry in handling a non-idempotent request.
 *
 * <p>Decisions are pure functions of their arguments. Three rules ensure that a request runs at
 * most once: a claim is never moved to another target; a request is only ever sent to the incarnation that the row
 * names, and an agent of another incarnation does not run it; and an agent runs an id once per incarnation, however
 * often it is sent. Immutable.
 */
public enum ClaimDecision {
    /** There is no row: create it, with the same nonce as before if a write of it is in doubt. */
    CLAIM,
    /** Send the request to the target and incarnation in the row. */
    SEND,
    /** Query the row's target for the outcome of the request. */
    INQUIRE,
    /** Return the target's answer; record it in the row first if the row does not hold it. */
    ANSWER,
    /** Respond that the request did not run; record that in the row first if the row does not say so. */
    REFUSE,
    /** Respond that the id was used for another request. */
    MISMATCH,
    /** Respond that the outcome is unknown; record that in the row first if the row does not say so. */
    GIVE_UP_UNKNOWN;

    /**
     * Decides by the row, as read before claiming, after a write conflict, or after a write whose response was lost.
     *
     * @param row the row as read; empty when there is none
     * @param bodySha256 the digest of the request being handled
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
     * Decides by the agent's response to {@code OutcomeQuery} or {@code Execute} for a claim without an outcome.
     *
     * <p>Both messages name the incarnation in the row, and an agent of another incarnation responds with
     * {@link Outcome#UNKNOWN}, because it has no record of what the previous incarnation ran.
     *
     * @param outcome the outcome that the agent reports
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
