package io.pollenreach.internal.placement;

/**
 * The options of a {@link GuaranteedPlacer}.
 *
 * <p>Immutable.
 *
 * @param divisible whether a guaranteed shape covers as many jobs as fit into it, else one at a time
 * @param spareGangs whether a job of one part borrows free capacity instead of using one part of a guarantee meant
 *     for a gang
 * @param bestFit whether placements are chosen so that complete workers and racks stay free, else the first that fits
 * @param fairShare whether the workspace that uses least of its share goes first, else the longest waiting job
 * @param leastLostWork whether the victims are those that lose least work, else those that hold least
 * @param excludeAfterFailures number of recent failures from which a worker gets no new parts; 0 for no limit
 * @param reserveAfterMs how long a job waits before workers are reserved for it, in milliseconds; 0 for never
 * @param moveAfterMs how long a gang waits before borrowers are stopped and restarted elsewhere to make space for it,
 *     in milliseconds; 0 for never
 */
record PlacementOptions(
        boolean divisible,
        boolean spareGangs,
        boolean bestFit,
        boolean fairShare,
        boolean leastLostWork,
        int excludeAfterFailures,
        long reserveAfterMs,
        long moveAfterMs) {}
