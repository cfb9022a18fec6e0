/** The scheduler: one of the entries is elected leader through the store and decides where tasks run. */
package io.pollenreach.daemon.internal.scheduler;
