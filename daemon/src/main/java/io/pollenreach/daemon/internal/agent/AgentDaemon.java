package io.pollenreach.daemon.internal.agent;

import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.settings.AgentSettings;

/** Placeholder on this branch until the agent lands. Immutable. */
public final class AgentDaemon implements AutoCloseable {
    private AgentDaemon() {}

    /** Fails: the agent is not on this branch yet. */
    public static AgentDaemon start(AgentSettings settings, Clock clock) {
        throw new UnsupportedOperationException("the agent is not on this branch");
    }

    @Override
    public void close() {}
}
