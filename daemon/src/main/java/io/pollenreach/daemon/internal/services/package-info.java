/**
 * The table service, object store and task runtimes of the own interface: ports, clients, and the guard around them.
 */
package io.pollenreach.daemon.internal.services;
