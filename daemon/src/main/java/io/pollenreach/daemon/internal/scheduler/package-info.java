/** The scheduler: one of the entries is elected leader and decides where tasks run; the store arbitrates which. */
package io.pollenreach.daemon.internal.scheduler;
