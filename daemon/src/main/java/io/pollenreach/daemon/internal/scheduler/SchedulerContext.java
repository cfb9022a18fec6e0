package io.pollenreach.daemon.internal.scheduler;

import java.util.Map;
import java.util.function.Supplier;

import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.evacuation.EvacuationSource;
import io.pollenreach.daemon.internal.store.StateStore;

/**
 * The services and settings that a scheduler uses in all its terms.
 *
 * <p>Immutable; its components are thread-safe.
 *
 * @param self the name of this entry; unique
 * @param store the store
 * @param leader the watch on the leader; started and closed by the caller
 * @param guarantees supplies the accelerators that each workspace is currently guaranteed
 * @param evacuations tells which availability zones are under evacuation
 * @param advisor advises which workers may run the steps of advised queues
 * @param clock the clock
 * @param leaseMs how long a worker keeps its runs after its agent's last report, in milliseconds
 */
public record SchedulerContext(
        String self,
        StateStore store,
        LeaderWatch leader,
        Supplier<Map<String, Integer>> guarantees,
        EvacuationSource evacuations,
        Advisor advisor,
        Clock clock,
        long leaseMs) {
    /** Creates the context of a deployment without evacuations. */
    public SchedulerContext(
            String self,
            StateStore store,
            LeaderWatch leader,
            Supplier<Map<String, Integer>> guarantees,
            Advisor advisor,
            Clock clock,
            long leaseMs) {
        this(self, store, leader, guarantees, EvacuationSource.none(), advisor, clock, leaseMs);
    }
}
