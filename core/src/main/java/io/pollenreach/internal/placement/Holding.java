package io.pollenreach.internal.placement;

import io.pollenreach.internal.wire.AttemptId;

/**
 * Accelerators of one worker that a part of a gang holds.
 *
 * <p>Immutable.
 *
 * @param id the attempt
 * @param workspace the workspace that owns the job
 * @param accelerators how many are held
 * @param borrowed whether the job runs outside its workspace's guarantee and may be reclaimed
 * @param restartable whether the job may run again after a reclaim
 * @param unsavedMs work that stopping the part now would lose, in milliseconds
 */
public record Holding(
        AttemptId id, String workspace, int accelerators, boolean borrowed, boolean restartable, long unsavedMs) {}
