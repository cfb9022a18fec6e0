package io.pollenreach.internal.placement;

import io.pollenreach.JobSpec;

/**
 * A job that waits for accelerators.
 *
 * <p>Immutable.
 *
 * @param spec the job as submitted
 * @param waitedMs how long it has waited since it was submitted or last stopped, in milliseconds
 * @param lostAttempts attempts lost to failures so far
 */
public record WaitingJob(JobSpec spec, long waitedMs, int lostAttempts) {}
