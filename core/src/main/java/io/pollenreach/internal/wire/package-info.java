/** The messages between the processes of the system. */
package io.pollenreach.internal.wire;
