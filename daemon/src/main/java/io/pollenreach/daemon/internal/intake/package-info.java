/** Accepts jobs made of steps for queues, cancels them and tells where they stand. */
package io.pollenreach.daemon.internal.intake;
