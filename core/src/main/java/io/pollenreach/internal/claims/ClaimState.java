package io.pollenreach.internal.claims;

import java.util.EnumSet;
import java.util.Set;

/**
 * The states of a claim.
 *
 * <p>All states but the first are final, so that every query about a request gets the same outcome. Immutable.
 */
public enum ClaimState {
    /** Bound to one target; the request may or may not have been sent. */
    CLAIMED,
    /** The target's whole answer is recorded. */
    ANSWERED,
    /** The target refused the request before its first byte, and refuses every later copy. */
    REFUSED,
    /** The request may have run, and its outcome can no longer be determined. */
    UNKNOWN;

    /** Tells whether the state never changes again. */
    public boolean terminal() {
        return this != CLAIMED;
    }

    /** Returns the states that may follow this one. */
    public Set<ClaimState> next() {
        return this == CLAIMED ? EnumSet.of(ANSWERED, REFUSED, UNKNOWN) : EnumSet.noneOf(ClaimState.class);
    }
}
