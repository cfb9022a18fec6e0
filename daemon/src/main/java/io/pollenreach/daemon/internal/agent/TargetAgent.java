package io.pollenreach.daemon.internal.agent;

import java.util.concurrent.CompletableFuture;

import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.Message;

/**
 * What an agent does for one kind of target.
 *
 * <p>Implementations are safe for use by many threads; {@link #tick()} is called from one.
 */
interface TargetAgent {
    /** Answers a call of another process; throws or fails with a {@link io.pollenreach.PollenreachException}. */
    CompletableFuture<Message> handle(Message message);

    /** Does what is due, every {@link AgentTimes#TICK_MS}. */
    void tick();

    /** Tells whether the agent may announce itself. */
    boolean ready();

    /** Returns how busy the target is. */
    Load load();

    /** Returns the incarnation to announce, which grows with each start and whenever the agent has forgotten requests. */
    long incarnation();

    /** Returns what heartbeats tell about parts. */
    PartReporter parts();

    /** Gives the agent the link that it hurries when something ended. */
    void setHomeLink(HomeLink link);

    /** Takes no new work from now on; completes when all work in flight has ended. */
    CompletableFuture<Void> drain();

    /** Stops what a drain left behind. */
    CompletableFuture<Void> stopAll();
}
