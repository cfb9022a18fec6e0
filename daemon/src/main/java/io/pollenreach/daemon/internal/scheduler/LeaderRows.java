package io.pollenreach.daemon.internal.scheduler;

import java.util.Map;

/** The rows of the table that says who schedules. Holds no state. */
final class LeaderRows {
    private LeaderRows() {}

    /**
     * Who schedules.
     *
     * <p>Immutable.
     *
     * @param holder the leader; empty when the last one stepped down
     */
    record Term(String holder) {}

    /**
     * A sign of work.
     *
     * <p>Immutable.
     *
     * @param holder the leader
     * @param count rises with each beat
     * @param waitingByQueue how many jobs of each queue have not started
     */
    record Heartbeat(String holder, long count, Map<String, Integer> waitingByQueue) {
        Heartbeat {
            waitingByQueue = waitingByQueue == null ? Map.of() : Map.copyOf(waitingByQueue);
        }
    }
}
