/** Decides whether the parts of a gang may continue to run. */
package io.pollenreach.internal.gang;
