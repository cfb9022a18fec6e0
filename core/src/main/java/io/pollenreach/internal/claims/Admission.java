package io.pollenreach.internal.claims;

/** What the request table says to a request that is about to start. Immutable. */
public enum Admission {
    /** The request counts as started from now on. */
    STARTED,
    /** The request was refused for good; it never starts. */
    TOMBSTONED,
    /** Another copy of the request runs at this entry. */
    ALREADY_STARTED,
    /** The table holds all the tombstones that it can; nothing is promised about the request. */
    FULL
}
