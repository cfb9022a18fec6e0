/** Trials of the decision classes under seeded workloads in virtual time. */
package io.pollenreach.bench.experiment;
