package io.pollenreach.daemon.internal.rpc;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.pollenreach.Clock;
import io.pollenreach.internal.wire.Message;

/**
 * Another process, and the one connection that new calls to it use.
 *
 * <p>The connection opens with the first call, is replaced when it breaks or stays silent, and closes when it has not
 * been used for {@link #IDLE_MS}. Confined to one event loop, but for {@link #call} and {@link #close}, which any
 * thread may use.
 */
final class Peer {
    private static final long IDLE_MS = 60_000;

    private final String address;
    private final InetSocketAddress socketAddress;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final ChannelSetup setup;
    private final Clock clock;
    private Connection current;
    private long lastId;
    private long lastUsedMs;

    /** Builds the pipeline of an outgoing channel. */
    interface ChannelSetup {
        Bootstrap apply(Bootstrap bootstrap, EnvelopeHandler last);
    }

    Peer(String address, InetSocketAddress socketAddress, Bootstrap bootstrap, ChannelSetup setup, Clock clock) {
        this.address = address;
        this.socketAddress = socketAddress;
        this.loop = (EventLoop) bootstrap.config().group();
        this.bootstrap = bootstrap;
        this.setup = setup;
        this.clock = clock;
        loop.schedule(this::closeWhenIdle, IDLE_MS, TimeUnit.MILLISECONDS);
    }

    void call(Message message, long timeoutMs, CompletableFuture<Message> future) {
        loop.execute(() -> callInLoop(message, timeoutMs, future));
    }

    private void callInLoop(Message message, long timeoutMs, CompletableFuture<Message> future) {
        byte[] frame;
        lastId++;
        try {
            frame = EnvelopeCodec.encode(Envelope.call(lastId, message));
        } catch (RuntimeException e) {
            future.completeExceptionally(e);
            return;
        }
        lastUsedMs = clock.nowMs();
        if (current == null || !current.usable()) {
            current = connect();
        }
        current.call(lastId, frame, timeoutMs, future);
    }

    private Connection connect() {
        Connection connection = new Connection(address, loop);
        ChannelFuture opening = setup.apply(bootstrap.clone(), connection).connect(socketAddress);
        opening.addListener(f -> {
            if (!f.isSuccess()) {
                connection.abort(String.valueOf(f.cause().getMessage()));
            }
        });
        return connection;
    }

    private void closeWhenIdle() {
        boolean unused = clock.nowMs() - lastUsedMs >= IDLE_MS;
        if (current != null && unused && current.idle()) {
            current.retire();
            current = null;
        }
        if (!loop.isShuttingDown()) {
            loop.schedule(this::closeWhenIdle, IDLE_MS, TimeUnit.MILLISECONDS);
        }
    }

    void close() {
        loop.execute(() -> {
            if (current != null) {
                current.abort("this process is shutting down");
            }
        });
    }
}
