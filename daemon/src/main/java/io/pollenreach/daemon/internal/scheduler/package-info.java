/** The scheduler in office: one of the entries decides where tasks run, and the store arbitrates which. */
package io.pollenreach.daemon.internal.scheduler;
