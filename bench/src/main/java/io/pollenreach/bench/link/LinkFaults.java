package io.pollenreach.bench.link;

/**
 * The faults of a link, in both directions.
 *
 * <p>Immutable.
 *
 * @param cut whether connections are refused and those that stand are closed
 * @param delayMs how long each piece of data is held back, in milliseconds
 * @param jitterMs how much longer at most, chosen for each piece
 * @param frozen whether data is held back until the link thaws
 * @param dropAfterBytes a connection is closed once it has carried about this many bytes; 0 for no limit
 */
public record LinkFaults(boolean cut, long delayMs, long jitterMs, boolean frozen, long dropAfterBytes) {
    public static final LinkFaults NONE = new LinkFaults(false, 0, 0, false, 0);

    /** Returns faults that cut the link. */
    public static LinkFaults cutOff() {
        return new LinkFaults(true, 0, 0, false, 0);
    }

    /** Returns faults that hold all data back. */
    public static LinkFaults freeze() {
        return new LinkFaults(false, 0, 0, true, 0);
    }

    /** Returns faults that delay each piece of data. */
    public static LinkFaults delay(long delayMs, long jitterMs) {
        return new LinkFaults(false, delayMs, jitterMs, false, 0);
    }

    /** Returns faults that close each connection after some bytes. */
    public static LinkFaults dropAfter(long bytes) {
        return new LinkFaults(false, 0, 0, false, bytes);
    }
}
