/** Decides whether the parts of a gang may go on running. */
package io.pollenreach.internal.gang;
