package io.pollenreach.internal.claims;

/** The request table's decision on whether a request may start. Immutable. */
public enum Admission {
    /** The request may start, and counts as started from now on. */
    STARTED,
    /** A tombstone is recorded for the request, so it must not start. */
    TOMBSTONED,
    /** Another copy of the request is already running at this entry. */
    ALREADY_STARTED,
    /** The table holds more tombstones than its limit; the request does not start, and nothing is recorded about it. */
    FULL
}
