package io.pollenreach.internal.placement;

/**
 * What a {@link GuaranteedPlacer} weighs.
 *
 * <p>Immutable.
 *
 * @param divisible whether a guaranteed shape covers as many jobs as fit into it, else one at a time
 * @param spareGangs whether a single part borrows free room rather than cut up the guarantee of a gang
 * @param bestFit whether free room is chosen so that whole racks and workers stay free, else the first that fits
 * @param fairShare whether the workspace that uses least of its share goes first, else the longest waiting job
 * @param leastLostWork whether the victims are those that lose least work, else those that hold least
 * @param setAsideFailures recent failures from which a worker gets no new parts; 0 for never
 * @param reserveAfterMs how long a job waits before room is kept for it, in milliseconds; 0 for never
 * @param moveAfterMs how long a gang waits before borrowers are moved together for it, in milliseconds; 0 for never
 */
record PlacementOptions(
        boolean divisible,
        boolean spareGangs,
        boolean bestFit,
        boolean fairShare,
        boolean leastLostWork,
        int setAsideFailures,
        long reserveAfterMs,
        long moveAfterMs) {}
