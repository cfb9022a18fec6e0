package io.pollenreach.daemon.internal.scheduler;

import java.util.Map;

/** The rows of the table that says who schedules. Holds no state. */
final class OfficeRows {
    private OfficeRows() {}

    /**
     * Who schedules.
     *
     * <p>Immutable.
     *
     * @param holder the entry in office; empty when the last one resigned
     */
    record Term(String holder) {}

    /**
     * A sign of work.
     *
     * <p>Immutable.
     *
     * @param holder the entry in office
     * @param count rises with each beat
     * @param waitingByQueue how many jobs of each queue have not started
     */
    record Beat(String holder, long count, Map<String, Integer> waitingByQueue) {
        Beat {
            waitingByQueue = waitingByQueue == null ? Map.of() : Map.copyOf(waitingByQueue);
        }
    }
}
