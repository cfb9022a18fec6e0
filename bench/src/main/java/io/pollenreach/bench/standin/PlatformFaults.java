package io.pollenreach.bench.standin;

/**
 * The faults of the platform's store, and those of one worker when it is named.
 *
 * <p>Immutable.
 *
 * @param down whether the store answers every call with 503
 * @param slowMs how long each call to the store takes in addition, in milliseconds
 * @param loseAnswersPercent how many calls to the store take effect without an answer
 * @param seed the seed of the choice of the calls whose answers are lost
 * @param worker when present, only this worker's faults are set
 * @param failStarts whether every task that the worker starts fails at once
 */
public record PlatformFaults(
        boolean down, long slowMs, int loseAnswersPercent, long seed, String worker, boolean failStarts) {
    static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, 0, null, false);
}
