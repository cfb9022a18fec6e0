/** Jobs made of steps of tasks: their progress, the workers that run them, and the placement of tasks. */
package io.pollenreach.internal.batch;
