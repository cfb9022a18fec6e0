/** What keeps a process from living on without one of its threads. */
package io.pollenreach.daemon.internal.process;
