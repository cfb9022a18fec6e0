/** The command line. */
package io.pollenreach.daemon.internal.cli;
