package io.pollenreach.daemon.internal.agent;

/** The periods and limits of an agent. */
public final class AgentTimes {
    /** Time between two heartbeats to the home entry, in milliseconds. */
    public static final long HEARTBEAT_MS = 500;
    /** How long the runtime lets a task run without a renewal, in milliseconds. */
    public static final long TASK_LEASE_MS = 3_000;
    /** Time between two renewals of all leases, in milliseconds. */
    public static final long RENEW_MS = 1_000;
    /** Time between two reads of the runtime's tasks while any part is held, in milliseconds. */
    public static final long POLL_MS = 1_000;
    /** Time between two checks of stops, reservations and gangs, in milliseconds. */
    public static final long TICK_MS = 100;
    /** How long a call to the worker's runtime may take, in milliseconds. */
    public static final long RUNTIME_TIMEOUT_MS = 1_000;
    /** How long an agent that reaches no entry lets its tasks run, in milliseconds. */
    public static final long ENTRY_CONTACT_LIMIT_MS = 30_000;
    /** What is added to a lease before a task counts as surely stopped, in milliseconds. */
    public static final long LEASE_MARGIN_MS = 500;

    private AgentTimes() {}
}
