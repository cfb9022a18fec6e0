package io.pollenreach.internal.wire;

import java.util.List;

/**
 * Sets a reserved part up without running it.
 *
 * <p>Direction: entry to agent. Immutable.
 *
 * @param id the attempt
 * @param rank the part's rank
 * @param gang all parts of the gang
 * @param command the argument for the worker's runtime
 * @param declaredMs the declared run time in milliseconds
 */
public record Prepare(AttemptId id, int rank, List<Part> gang, String command, long declaredMs) implements Message {
    public Prepare {
        gang = gang == null ? List.of() : List.copyOf(gang);
    }
}
