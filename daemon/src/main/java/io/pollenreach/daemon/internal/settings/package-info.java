/** Settings of the programs. */
package io.pollenreach.daemon.internal.settings;
