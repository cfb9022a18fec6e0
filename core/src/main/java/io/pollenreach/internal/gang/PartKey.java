package io.pollenreach.internal.gang;

import io.pollenreach.internal.wire.AttemptId;

/**
 * Identifies one part of one attempt.
 *
 * <p>Immutable.
 *
 * @param id the attempt
 * @param rank the part's rank
 */
public record PartKey(AttemptId id, int rank) {}
