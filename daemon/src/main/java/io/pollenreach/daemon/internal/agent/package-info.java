/** The agent beside each target, which decides what uses the target's accelerators or slots. */
package io.pollenreach.daemon.internal.agent;
