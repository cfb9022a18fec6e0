/** Reading and writing JSON and its kin. */
package io.pollenreach.internal.json;
