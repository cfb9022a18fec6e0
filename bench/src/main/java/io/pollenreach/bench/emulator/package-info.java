/** An emulator of the users' platform: its store, its workers, and the record of what they saw. */
package io.pollenreach.bench.emulator;
