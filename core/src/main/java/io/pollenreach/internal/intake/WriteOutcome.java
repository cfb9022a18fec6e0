package io.pollenreach.internal.intake;

import io.pollenreach.ResultCode;

/** What the store's answer to a write tells about its effect. Immutable. */
public enum WriteOutcome {
    /** The write took effect. */
    APPLIED,
    /** The write had no effect and never will. */
    REFUSED,
    /** A condition of the write did not hold, so it had no effect. */
    CONDITION_FAILED,
    /** The write may have taken effect, or may yet do so. */
    UNKNOWN;

    /** Returns the outcome of a write that failed with a code. */
    public static WriteOutcome ofFailure(ResultCode code) {
        switch (code) {
            case PLATFORM_UNAVAILABLE:
                return REFUSED;
            case CONFLICT:
                return CONDITION_FAILED;
            default:
                return UNKNOWN;
        }
    }
}
