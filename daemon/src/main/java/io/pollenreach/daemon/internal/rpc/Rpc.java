package io.pollenreach.daemon.internal.rpc;

import java.util.concurrent.CompletableFuture;

import io.pollenreach.internal.wire.Message;

/**
 * Calls other processes of the system.
 *
 * <p>Implementations are safe for use by many threads.
 *
 * <pre>{@code
 * rpc.call("127.0.0.1:7100", new PeerStateRequest(me), 1_000).thenAccept(this::adopt);
 * }</pre>
 */
public interface Rpc {
    /**
     * Sends a message and waits for its answer.
     *
     * @param address the receiver, as {@code ip:port}
     * @param message the message
     * @param timeoutMs milliseconds until the call fails
     * @return the answer; fails with a {@link io.pollenreach.PollenreachException}: the receiver's own code when it
     *     answered with a {@link io.pollenreach.internal.wire.Failure}, {@code PEER_UNREACHABLE} when surely nothing
     *     was delivered, {@code PEER_TIMEOUT} when the message may have been delivered
     */
    CompletableFuture<Message> call(String address, Message message, long timeoutMs);

    /** As {@link #call} but fails with {@code BAD_FRAME} unless the answer has the expected type. */
    default <T extends Message> CompletableFuture<T> call(
            String address, Message message, Class<T> answer, long timeoutMs) {
        return call(address, message, timeoutMs).thenApply(m -> Answers.expect(m, answer));
    }
}
