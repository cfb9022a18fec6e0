/** The entry daemon: the blackboard's tables, the controllers that work on them, and the resource API. */
package io.pollenreach.daemon.internal.entry;
