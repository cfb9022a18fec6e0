/** Stand-ins and the load and experiment tool. */
package io.pollenreach.bench;
