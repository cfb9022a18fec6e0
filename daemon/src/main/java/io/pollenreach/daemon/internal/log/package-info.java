/** One log line of key=value pairs for each event. */
package io.pollenreach.daemon.internal.log;
