package io.pollenreach.daemon.internal.rpc;

import java.util.concurrent.CompletableFuture;

import io.pollenreach.internal.wire.Message;

/**
 * Answers messages from other processes.
 *
 * <p>Implementations must be safe for use by many threads and must not block.
 */
@FunctionalInterface
public interface RpcHandler {
    /**
     * Handles one message.
     *
     * @param message what arrived
     * @return the answer; a failed future is sent as a {@link io.pollenreach.internal.wire.Failure} with its code
     */
    CompletableFuture<Message> handle(Message message);
}
