package io.pollenreach.internal.batch;

/** Bounds the checkpoints that workers report, since rows hold one of each run. Stateless. */
final class Checkpoint {
    private static final int MAX_CHARS = 64;

    private Checkpoint() {}

    /** Returns a checkpoint; the empty text for none or for one that is too long, so that the one before is kept. */
    static String orNone(String reported) {
        return reported == null || reported.length() > MAX_CHARS ? "" : reported;
    }
}
