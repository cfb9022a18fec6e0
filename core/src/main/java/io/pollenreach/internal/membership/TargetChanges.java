package io.pollenreach.internal.membership;

import java.util.List;

import io.pollenreach.internal.wire.TargetInfo;

/**
 * What changed among the targets that announce themselves here.
 *
 * <p>Immutable.
 *
 * @param upTo the number to ask from next time
 * @param targets targets that announced something new
 * @param gone ids of targets that left
 */
public record TargetChanges(long upTo, List<TargetInfo> targets, List<String> gone) {
    public TargetChanges {
        targets = List.copyOf(targets);
        gone = List.copyOf(gone);
    }
}
