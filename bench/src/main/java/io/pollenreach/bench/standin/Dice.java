package io.pollenreach.bench.standin;

import java.util.Random;

/** Seeded choices. Safe for use by many threads. */
final class Dice {
    private static final int PERCENT = 100;

    private final Random random;

    Dice(long seed) {
        random = new Random(seed);
    }

    synchronized boolean hits(int percent) {
        // Draws also at 0 percent, so that the sequence depends on the number of calls only.
        return random.nextInt(PERCENT) < percent;
    }
}
