/** Decisions about where jobs run. */
package io.pollenreach.internal.placement;
