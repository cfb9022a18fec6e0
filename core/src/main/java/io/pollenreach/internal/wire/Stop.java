package io.pollenreach.internal.wire;

/**
 * Stops a part and answers once it has surely stopped; also fences all attempts up to this one.
 *
 * <p>Direction: entry to agent. Immutable.
 *
 * @param id the attempt
 * @param rank the part's rank
 * @param graceMs milliseconds for a checkpoint before the part is killed
 * @param worker the target id of the worker whose part it is, since only its agent can tell that the part has stopped;
 *     null from an entry of an earlier version
 */
public record Stop(AttemptId id, int rank, long graceMs, String worker) implements Message {}
