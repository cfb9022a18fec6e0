/** The daemons and the command line. */
package io.pollenreach.daemon;
