package io.pollenreach.daemon.internal.services;

/**
 * A task as the worker's runtime reports it.
 *
 * <p>Immutable.
 *
 * @param id the task's id at the runtime
 * @param state {@code HELD}, {@code RUNNING}, {@code SUCCEEDED}, {@code FAILED}, {@code STOPPED} or {@code LAPSED}
 * @param accelerators how many it holds
 * @param progressMs work done, in milliseconds; reported with a lag
 * @param checkpointMs work saved by the last checkpoint, in milliseconds
 * @param detail text for people
 */
public record TaskStatus(String id, State state, int accelerators, long progressMs, long checkpointMs, String detail) {
    /** Where a task stands. Immutable. */
    public enum State {
        HELD,
        RUNNING,
        SUCCEEDED,
        FAILED,
        STOPPED,
        LAPSED;

        /** Tells whether the task surely runs no more. */
        public boolean ended() {
            return this != HELD && this != RUNNING;
        }
    }
}
