/** Clocks that call the operating system for times that the JDK does not offer. */
package io.pollenreach.daemon.internal.clock;
