/** The agent beside each target: the authority on its accelerators or slots. */
package io.pollenreach.daemon.internal.agent;
