/** Stand-ins of the platform and of a runner, which keep everything in memory and can be made to fail. */
package io.pollenreach.bench.standin;
