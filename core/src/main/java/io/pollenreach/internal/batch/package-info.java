/** Jobs made of steps of tasks: their progress, the workers that run them, and where each task goes. */
package io.pollenreach.internal.batch;
