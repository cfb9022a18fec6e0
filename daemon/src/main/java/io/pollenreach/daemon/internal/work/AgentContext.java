package io.pollenreach.daemon.internal.work;

/** What the parts of an agent need of it. For use by the agent's thread, but for {@link #execute}. */
interface AgentContext {
    /** Tells whether an incarnation is the one that the agent speaks for. */
    boolean isCurrent(Incarnation incarnation);

    /** Returns what the worker said of itself last. */
    WorkerInfo newestFacts();

    /** Takes the news that a report was stored. */
    void stored(Incarnation incarnation);

    /** Takes the news that somebody else speaks for the worker, or has written its row. */
    void claimLost();

    /** Runs something on the agent's thread. */
    void execute(Runnable work);

    /** Runs something on the agent's thread a little later. */
    void later(Runnable work);
}
