/** Calls between the processes of the system. */
package io.pollenreach.daemon.internal.rpc;
