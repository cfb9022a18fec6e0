package io.pollenreach.internal.wire;

/**
 * The states of a part at its agent.
 *
 * <p>Order: reserved, prepared, running, then one of the ends. Immutable.
 */
public enum PartState {
    RESERVED,
    PREPARED,
    RUNNING,
    STOPPING,
    SUCCEEDED,
    FAILED,
    STOPPED;

    /** Tells whether the part holds no accelerators any more and never will again. */
    public boolean ended() {
        return this == SUCCEEDED || this == FAILED || this == STOPPED;
    }
}
