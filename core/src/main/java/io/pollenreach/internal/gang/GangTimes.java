package io.pollenreach.internal.gang;

/**
 * The periods and limits of the gang protocol.
 *
 * <p>A part that is cut off from its gang continues for at most twice {@link #GANG_TIMEOUT_MS} plus one
 * {@link #HEARTBEAT_INTERVAL_MS}: the leader permits the gang to continue for one time-out after the last heartbeat of
 * each part, and each part continues for one time-out after sending the last heartbeat that was answered.
 */
public final class GangTimes {
    /** Time between two heartbeats of a part to its leader, in milliseconds. */
    public static final long HEARTBEAT_INTERVAL_MS = 500;
    /**
     * How long the leader may miss heartbeats of a part, or a part the permission of its leader, before the gang
     * stops, in milliseconds.
     */
    public static final long GANG_TIMEOUT_MS = 1_500;
    /** How long a prepared part waits for its release before it expires, in milliseconds. */
    public static final long PREPARED_TTL_MS = 5_000;

    private GangTimes() {}
}
