package io.pollenreach.daemon.internal.agent;

import java.util.concurrent.CompletableFuture;

import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.Message;

/**
 * The side of an agent that is specific to one kind of target, a worker or a runner.
 *
 * <p>Implementations are safe for use by many threads; {@link #tick()} is called from one.
 */
interface TargetAgent {
    /** Handles a request of another process; throws or fails with a {@link io.pollenreach.PollenreachException}. */
    CompletableFuture<Message> handle(Message message);

    /** Runs the periodic checks; called every {@link AgentTimes#TICK_MS}. */
    void tick();

    /** Tells whether the target accepts work, so that the agent may announce it. */
    boolean ready();

    /** Returns the target's current load. */
    Load load();

    /**
     * Returns the incarnation to announce, which grows with each start and whenever the agent has forgotten requests.
     */
    long incarnation();

    /** Returns the source of the parts that heartbeats report. */
    PartReporter parts();

    /** Sets the link from which a heartbeat is requested as soon as a part has ended. */
    void setHomeLink(HomeLink link);

    /** Accepts no new work from now on; completes when all work in flight has ended. */
    CompletableFuture<Void> drain();

    /** Stops the work that is still running, such as after a drain timed out. */
    CompletableFuture<Void> stopAll();
}
