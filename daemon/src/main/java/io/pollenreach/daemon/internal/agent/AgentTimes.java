package io.pollenreach.daemon.internal.agent;

/** The periods and limits of an agent. */
public final class AgentTimes {
    /** Time between two heartbeats to the home entry, in milliseconds. */
    public static final long HEARTBEAT_MS = 500;
    /** How long the runtime lets a task run after the last renewal of its lease, in milliseconds. */
    public static final long TASK_LEASE_MS = 3_000;
    /** Time between two renewals of all leases, in milliseconds. */
    public static final long RENEW_MS = 1_000;
    /** Time between two polls of the runtime's list of tasks while any part is held, in milliseconds. */
    public static final long POLL_MS = 1_000;
    /** Time between two checks of stopping parts, waiting reservations and gangs, in milliseconds. */
    public static final long TICK_MS = 100;
    /** How long a call to the worker's runtime may take, in milliseconds. */
    public static final long RUNTIME_TIMEOUT_MS = 1_000;
    /** How long an agent that gets no response from any entry lets its tasks run, in milliseconds. */
    public static final long ENTRY_CONTACT_LIMIT_MS = 30_000;
    /** Extra time after the end of a lease before the runtime is assumed to have killed the task, in milliseconds. */
    public static final long LEASE_MARGIN_MS = 500;

    private AgentTimes() {}
}
