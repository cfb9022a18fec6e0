package io.pollenreach.daemon.internal.services;

import java.util.List;

/** The bodies of the platform's protocol that are not rows or tasks themselves. Stateless. */
public final class PlatformMessages {
    private PlatformMessages() {}

    /** Writes that take effect together or not at all. Immutable. */
    public record Transaction(List<Write> writes) {
        public Transaction {
            writes = writes == null ? List.of() : List.copyOf(writes);
        }
    }

    /** The new versions, in the order of the writes. Immutable. */
    public record Versions(List<Long> versions) {
        public Versions {
            versions = versions == null ? List.of() : List.copyOf(versions);
        }
    }

    /** Declares a task that is to be held. Immutable. */
    public record TaskOrder(int accelerators, String command, long leaseMs) {}

    /** Renews leases. Immutable. */
    public record Renewal(List<String> tasks, long leaseMs) {
        public Renewal {
            tasks = tasks == null ? List.of() : List.copyOf(tasks);
        }
    }

    /** Limits a task to a part of its speed, 1 to 100 percent. Immutable. */
    public record Throttle(int percent) {}

    /** Stops a task, which may checkpoint for the grace in milliseconds. Immutable. */
    public record StopOrder(long graceMs) {}
}
