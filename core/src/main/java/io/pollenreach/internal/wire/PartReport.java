package io.pollenreach.internal.wire;

import java.util.Objects;

/**
 * What an agent knows about one part.
 *
 * <p>Immutable.
 *
 * @param id the attempt
 * @param rank the part's rank
 * @param state where the part stands
 * @param accelerators how many accelerators it holds
 * @param detail the exit reason or other text for people; may be empty
 */
public record PartReport(AttemptId id, int rank, PartState state, int accelerators, String detail) {
    public PartReport {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(state, "state");
    }
}
