/** Decisions about which runner serves a request. */
package io.pollenreach.internal.routing;
