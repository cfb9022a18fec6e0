package io.pollenreach.daemon.internal.rpc;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.pollenreach.daemon.internal.process.EventLoops;

/**
 * The threads and buffers of one or more nodes.
 *
 * <p>Safe for use by many threads. Close it after the nodes that use it.
 */
public final class RpcThreads implements AutoCloseable {
    private static final long SHUTDOWN_TIMEOUT_MS = 1_000;
    private static final int PAGE_BYTES = 8_192;
    /** Chunks of 128 KiB instead of Netty's 4 MiB, because frames are small. */
    private static final int CHUNK_ORDER = 4;

    private final EventLoopGroup group;
    private final ByteBufAllocator allocator;
    private volatile boolean closed;

    /** Creates the threads. */
    public RpcThreads(int threads) {
        group = new NioEventLoopGroup(threads, new DefaultThreadFactory("rpc", true));
        EventLoops.require("rpc", group, () -> closed);
        allocator = new PooledByteBufAllocator(true, threads, threads, PAGE_BYTES, CHUNK_ORDER);
    }

    EventLoopGroup group() {
        return group;
    }

    ByteBufAllocator allocator() {
        return allocator;
    }

    @Override
    public void close() {
        closed = true;
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}
