package io.pollenreach.daemon.internal.scheduler;

import java.util.Map;
import java.util.function.Supplier;

import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.store.StateStore;

/**
 * What a scheduler works with, in all its terms.
 *
 * <p>Immutable; its parts are safe for use by many threads.
 *
 * @param self the name of this entry; unique
 * @param store the store
 * @param leader who schedules, followed by the caller
 * @param guarantees the accelerators that each workspace is guaranteed, as now in force
 * @param advisor knows which workers may run the steps of advised queues
 * @param registry knows which worker processes exist
 * @param clock tells the time
 * @param leaseMs how long a worker keeps its runs after its agent's last report, in milliseconds
 */
public record SchedulerContext(
        String self,
        StateStore store,
        LeaderWatch leader,
        Supplier<Map<String, Integer>> guarantees,
        Advisor advisor,
        WorkerRegistry registry,
        Clock clock,
        long leaseMs) {}
