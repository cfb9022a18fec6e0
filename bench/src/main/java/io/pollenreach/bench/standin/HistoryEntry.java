package io.pollenreach.bench.standin;

/**
 * An event with its place in the history of one stand-in.
 *
 * <p>Immutable.
 *
 * @param sequence grows by one with each event, from 1
 * @param wallMs the wall clock in milliseconds since the Unix epoch
 * @param monotonicMs the monotonic clock in milliseconds; comparable between processes of one machine
 * @param event what happened
 */
public record HistoryEntry(long sequence, long wallMs, long monotonicMs, HistoryEvent event) {}
