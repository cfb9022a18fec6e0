/** Evacuations of availability zones: where they are read, and what depends on them. */
package io.pollenreach.daemon.internal.evacuation;
