package io.pollenreach.daemon.internal.intake;

import java.util.List;
import java.util.Map;

/**
 * One version of the queues and of who may use them.
 *
 * <p>Immutable.
 *
 * @param version rises with each change
 * @param queues the queues
 * @param workspaceByKey the workspace of each valid key
 * @param guarantees how many accelerators each workspace has for its most urgent jobs at all times
 */
public record QueueConfig(
        long version, List<Queue> queues, Map<String, String> workspaceByKey, Map<String, Integer> guarantees) {
    public QueueConfig {
        queues = List.copyOf(queues);
        workspaceByKey = Map.copyOf(workspaceByKey);
        guarantees = Map.copyOf(guarantees);
    }
}
