/** A TCP relay that makes connections fail. */
package io.pollenreach.bench.link;
