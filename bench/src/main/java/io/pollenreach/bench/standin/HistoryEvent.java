package io.pollenreach.bench.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Something that took effect at a stand-in.
 *
 * <p>The type's simple name travels in the field {@code t}. Immutable.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = HistoryEvent.RowWritten.class, name = "RowWritten"),
    @JsonSubTypes.Type(value = HistoryEvent.TaskHeld.class, name = "TaskHeld"),
    @JsonSubTypes.Type(value = HistoryEvent.TaskStarted.class, name = "TaskStarted"),
    @JsonSubTypes.Type(value = HistoryEvent.TaskEnded.class, name = "TaskEnded"),
    @JsonSubTypes.Type(value = HistoryEvent.RequestStarted.class, name = "RequestStarted"),
    @JsonSubTypes.Type(value = HistoryEvent.RequestEnded.class, name = "RequestEnded"),
    @JsonSubTypes.Type(value = HistoryEvent.FaultsSet.class, name = "FaultsSet")
})
public sealed interface HistoryEvent {
    /** A row was written, or deleted when the value is null. Immutable. */
    record RowWritten(String table, String key, long version, long revision, JsonNode value) implements HistoryEvent {}

    /** A task was created and holds its accelerators. Immutable. */
    record TaskHeld(String worker, String task, int accelerators, String command) implements HistoryEvent {}

    /** A task began to run. Immutable. */
    record TaskStarted(String worker, String task, int accelerators) implements HistoryEvent {}

    /** A task ended; {@code ran} tells whether it was ever started. Immutable. */
    record TaskEnded(String worker, String task, int accelerators, String state, boolean ran, String detail)
            implements HistoryEvent {}

    /** A request began to run, for the {@code run}th time under its id. Immutable. */
    record RequestStarted(String workspace, String requestId, int run) implements HistoryEvent {}

    /** A request's work is done and its answer goes out. Immutable. */
    record RequestEnded(String workspace, String requestId, int run) implements HistoryEvent {}

    /** The faults were changed. Immutable. */
    record FaultsSet(JsonNode faults) implements HistoryEvent {}
}
