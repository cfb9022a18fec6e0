package io.pollenreach.daemon.internal.process;

import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;

/**
 * Ends the process when an event loop ends that is still needed.
 *
 * <p>Netty lets an event loop end by an error and goes on without it, so that calls wait there for good. Stateless.
 */
public final class EventLoops {
    private EventLoops() {}

    /**
     * Requires that all event loops of a group go on.
     *
     * @param part what they are for
     * @param loops the event loops
     * @param closed tells whether they are not needed any more
     */
    public static void require(String part, EventLoopGroup loops, BooleanSupplier closed) {
        for (EventExecutor loop : loops) {
            loop.terminationFuture().addListener(f -> {
                if (!closed.getAsBoolean()) {
                    FatalErrors.end(part, new IllegalStateException("an event loop ended"));
                }
            });
        }
    }
}
