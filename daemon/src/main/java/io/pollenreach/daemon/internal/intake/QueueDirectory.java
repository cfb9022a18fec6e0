package io.pollenreach.daemon.internal.intake;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;

/**
 * The queues in force and who may use them.
 *
 * <p>Invariant: the version in force never falls. A key only opens a queue while the configuration is known to be
 * recent: a key may have been taken away since. Safe for use by many threads.
 */
public final class QueueDirectory {
    /** Tells how old the knowledge of the configuration is. */
    @FunctionalInterface
    public interface Age {
        /** Returns the age in milliseconds. */
        long ageMs();
    }

    private record InForce(QueueConfig config, Map<String, List<Queue>> byHost) {}

    private static final Events EVENTS = Events.of(QueueDirectory.class);

    private final Age age;
    private volatile long maxAgeMs;
    private volatile InForce inForce;

    /**
     * Creates an empty directory.
     *
     * @param age tells the age of what {@link #apply} was given last
     * @param maxAgeMs the age beyond which keys open nothing, in milliseconds
     */
    public QueueDirectory(Age age, long maxAgeMs) {
        this.age = age;
        this.maxAgeMs = maxAgeMs;
    }

    /** Puts a version in force unless a newer one is. */
    public synchronized void apply(QueueConfig config) {
        long before = version();
        if (inForce != null && config.version() <= before) {
            return;
        }
        Map<String, List<Queue>> byHost = config.queues().stream()
                .sorted(Comparator.comparingInt((Queue q) -> q.pathPrefix().length())
                        .reversed())
                .collect(Collectors.groupingBy(Queue::host));
        inForce = new InForce(config, byHost);
        EVENTS.info(
                "config-in-force",
                "version",
                config.version(),
                "before",
                before,
                "queues",
                config.queues().size(),
                "keys",
                config.workspaceByKey().size());
    }

    /** Changes the age beyond which keys open nothing, in milliseconds. */
    public void setMaxAgeMs(long ageMs) {
        maxAgeMs = ageMs;
    }

    /** Tells whether a configuration is in force. */
    public boolean known() {
        return inForce != null;
    }

    /** Returns the version in force; 0 when there is none. */
    public long version() {
        return inForce == null ? 0 : inForce.config().version();
    }

    /** Returns the guarantees in force. */
    public Map<String, Integer> guarantees() {
        return inForce == null ? Map.of() : inForce.config().guarantees();
    }

    /** Finds the queue with the longest prefix of a path; fails with {@code NOT_READY} without a configuration. */
    public Optional<Queue> find(String host, String path) {
        InForce now = inForce;
        if (now == null) {
            throw new PollenreachException(ResultCode.NOT_READY, "no configuration is known yet");
        }
        return now.byHost().getOrDefault(host, List.of()).stream()
                .filter(q -> path.startsWith(q.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds the workspace that a key stands for.
     *
     * @param queue the queue that is called
     * @param key the key of the call; empty for none
     * @return the workspace, empty for an open queue; fails with {@code UNAUTHENTICATED} or, when the configuration is
     *     too old to trust the key, with {@code NOT_READY}
     */
    public String authorize(Queue queue, Optional<String> key) {
        if (queue.open()) {
            return "";
        }
        long ageMs = age.ageMs();
        if (ageMs > maxAgeMs) {
            throw new PollenreachException(
                    ResultCode.NOT_READY,
                    "the keys were last confirmed " + ageMs + " ms ago, at most " + maxAgeMs + " ms are allowed");
        }
        return key.map(k -> inForce.config().workspaceByKey().get(k))
                .orElseThrow(() -> new PollenreachException(ResultCode.UNAUTHENTICATED, "the key is not known"));
    }
}
