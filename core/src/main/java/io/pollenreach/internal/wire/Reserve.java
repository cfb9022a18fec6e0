package io.pollenreach.internal.wire;

import java.util.List;

/**
 * Asks a worker to hold accelerators for a part until the deadline passes.
 *
 * <p>Direction: entry to agent. Immutable.
 *
 * @param id the attempt
 * @param rank the part's rank
 * @param accelerators how many to hold
 * @param ttlMs milliseconds after which the reservation lapses unless it was prepared
 * @param victims borrowers that the worker stops first, when the accelerators are not free
 * @param graceMs milliseconds that each victim has to checkpoint before it is killed
 */
public record Reserve(AttemptId id, int rank, int accelerators, long ttlMs, List<AttemptId> victims, long graceMs)
        implements Message {
    public Reserve {
        victims = victims == null ? List.of() : List.copyOf(victims);
    }
}
