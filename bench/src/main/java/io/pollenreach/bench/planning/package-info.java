/** Measures what the decisions of placement cost at growing sizes. */
package io.pollenreach.bench.planning;
