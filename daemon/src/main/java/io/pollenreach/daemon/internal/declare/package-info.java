/** Declarations of resources: reading, checking and comparing them. */
package io.pollenreach.daemon.internal.declare;
