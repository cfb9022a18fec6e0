/** The parts of an entry that accepts and schedules jobs made of steps, independent of the interface that calls it. */
package io.pollenreach.daemon.internal.batch;
