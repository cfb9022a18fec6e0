/** Clients of the platform's services. */
package io.pollenreach.daemon.internal.platform;
