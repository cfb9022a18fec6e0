package io.pollenreach.internal.wire;

/**
 * One part of a gang at its place.
 *
 * <p>Immutable.
 *
 * @param rank the part's number within the gang, from 0; rank 0 leads
 * @param worker the target id of the worker
 * @param address where the worker's agent listens, as {@code ip:port}
 * @param accelerators how many accelerators it holds
 */
public record Part(int rank, String worker, String address, int accelerators) {}
