package io.pollenreach.systemtest;

/**
 * A configuration version that a process reported to be in force.
 *
 * <p>Immutable.
 *
 * @param process the process
 * @param atMs when it was seen, in monotonic milliseconds
 * @param version the version
 */
record ConfigSeen(String process, long atMs, long version) {}
