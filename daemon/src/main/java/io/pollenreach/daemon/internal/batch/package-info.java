/** What an entry consists of that takes and schedules jobs made of steps, whichever interface it is called by. */
package io.pollenreach.daemon.internal.batch;
