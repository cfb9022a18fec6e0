package io.pollenreach.daemon.internal.scheduler;

import java.util.Map;
import java.util.Optional;

/** The rows of the leader table. Stateless. */
final class LeaderRows {
    private LeaderRows() {}

    /**
     * The row that names the leader.
     *
     * <p>Immutable.
     *
     * @param holder the leader; empty if the last one stepped down
     */
    record Term(String holder) {}

    /**
     * The leader's periodic heartbeat.
     *
     * <p>Immutable.
     *
     * @param holder the leader
     * @param count increases with each heartbeat
     * @param waitingByQueue the number of jobs of each queue that have not started; null while the leader loads its state
     */
    record Heartbeat(String holder, long count, Map<String, Integer> waitingByQueue) {
        Optional<Map<String, Integer>> counts() {
            return Optional.ofNullable(waitingByQueue);
        }
    }
}
