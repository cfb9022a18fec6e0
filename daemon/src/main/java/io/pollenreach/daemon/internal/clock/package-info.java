/** Clocks that need more than the JDK. */
package io.pollenreach.daemon.internal.clock;
