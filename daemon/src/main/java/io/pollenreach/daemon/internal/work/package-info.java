/** The agent of one worker that runs tasks: the only one who gives that worker orders. */
package io.pollenreach.daemon.internal.work;
