package io.pollenreach.internal.gang;

/**
 * The periods and limits of the gang protocol.
 *
 * <p>A part that is cut off runs on for at most twice {@link #GANG_SILENCE_MS} and one beat: the leader allows its gang
 * for one silence after the last word of any part, and each part goes on for one silence after the beat that was last
 * answered.
 */
public final class GangTimes {
    /** Time between two beats of a part to its leader, in milliseconds. */
    public static final long GANG_BEAT_MS = 500;
    /** How long a part may be silent, or a leader may give no leave, before the gang stops, in milliseconds. */
    public static final long GANG_SILENCE_MS = 1_500;
    /** How long a prepared part waits for its release, in milliseconds. */
    public static final long PREPARED_TTL_MS = 5_000;

    private GangTimes() {}
}
