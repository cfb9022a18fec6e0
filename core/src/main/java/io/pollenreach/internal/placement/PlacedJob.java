package io.pollenreach.internal.placement;

import io.pollenreach.JobSpec;

/**
 * A job that holds accelerators.
 *
 * <p>Immutable.
 *
 * @param spec the job as submitted
 * @param borrowed whether it runs outside its workspace's guarantee
 * @param runningMs how long it has run, in milliseconds
 */
public record PlacedJob(JobSpec spec, boolean borrowed, long runningMs) {}
