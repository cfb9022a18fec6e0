/** The store that keeps what must last, as a port, and the following of its tables. */
package io.pollenreach.daemon.internal.store;
