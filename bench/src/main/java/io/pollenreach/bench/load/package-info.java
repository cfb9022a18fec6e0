/** Loads real entries with many agents and measures what they cost. */
package io.pollenreach.bench.load;
