package io.pollenreach.internal.wire;

import java.util.List;
import java.util.Objects;

/**
 * All parts that one worker's agent holds, as of one announcement.
 *
 * <p>Immutable. Two of one worker are ordered by incarnation, then sequence.
 *
 * @param worker the target id
 * @param incarnation the incarnation of the agent
 * @param sequence the sequence of the announcement
 * @param parts every part that the agent holds or whose end it still reports
 */
public record WorkerParts(String worker, long incarnation, long sequence, List<PartReport> parts) {
    public WorkerParts {
        Objects.requireNonNull(worker, "worker");
        parts = List.copyOf(parts);
    }

    /** Tells whether this is newer than another of the same worker. */
    public boolean newerThan(WorkerParts other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }
}
