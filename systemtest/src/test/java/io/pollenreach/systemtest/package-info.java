/** Tests that run the real daemons as separate processes under failures. */
package io.pollenreach.systemtest;
