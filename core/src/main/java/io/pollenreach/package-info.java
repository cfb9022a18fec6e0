/** The public types of the library: resources, result codes and the clock. */
package io.pollenreach;
