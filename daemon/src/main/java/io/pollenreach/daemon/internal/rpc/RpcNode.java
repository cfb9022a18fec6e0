package io.pollenreach.daemon.internal.rpc;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.internal.wire.Message;

/**
 * One process's end of the protocol between processes: one port that takes calls, and connections made on demand.
 *
 * <p>Invariants: every call completes exactly once, at the latest after its timeout or when the node closes; a message
 * is sent at most once. Futures complete on the node's threads, so callers must not block in them. Safe for use by many
 * threads.
 *
 * <pre>{@code
 * RpcNode node = RpcNode.start("127.0.0.1:0", handler, Clock.system(), 1);
 * }</pre>
 */
public final class RpcNode implements Rpc, AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int BACKLOG = 1_024;
    private static final int MIN_READ_BYTES = 256;
    private static final int INITIAL_READ_BYTES = 1_024;
    private static final int MAX_READ_BYTES = 65_536;

    private final Clock clock;
    private final RpcThreads threads;
    private final boolean ownThreads;
    private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final ByteCounter bytes = new ByteCounter();
    private final Map<String, Peer> peers = new ConcurrentHashMap<>();
    private Channel server;

    private RpcNode(Clock clock, RpcThreads threads, boolean ownThreads) {
        this.clock = clock;
        this.threads = threads;
        this.ownThreads = ownThreads;
    }

    /**
     * Opens the port and starts to serve.
     *
     * @param bindAddress where to listen, as {@code ip:port}; port 0 picks a free one
     * @param handler answers the calls of others
     * @param clock the clock for idle times
     * @param threads how many threads serve all connections
     * @return the running node; fails with {@code OUT_OF_RANGE} when the address cannot be used
     */
    public static RpcNode start(String bindAddress, RpcHandler handler, Clock clock, int threads) {
        return start(bindAddress, handler, new RpcNode(clock, new RpcThreads(threads), true));
    }

    /** As {@link #start(String, RpcHandler, Clock, int)} but on threads that the caller shares among nodes. */
    public static RpcNode start(String bindAddress, RpcHandler handler, Clock clock, RpcThreads threads) {
        return start(bindAddress, handler, new RpcNode(clock, threads, false));
    }

    private static RpcNode start(String bindAddress, RpcHandler handler, RpcNode node) {
        try {
            node.bind(bindAddress, handler);
        } catch (RuntimeException e) {
            node.close();
            throw e;
        }
        return node;
    }

    private void bind(String bindAddress, RpcHandler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(threads.group())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOCATOR, threads.allocator())
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, readSizes())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted.add(channel);
                        channel.pipeline().addLast(bytes, new FrameDecoder(), new CallReceiver(handler));
                    }
                });
        ChannelFuture bound = bootstrap.bind(parse(bindAddress)).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            String detail =
                    "cannot listen on " + bindAddress + ": " + bound.cause().getMessage();
            throw new PollenreachException(ResultCode.OUT_OF_RANGE, "rpcAddress", detail, bound.cause());
        }
        server = bound.channel();
    }

    private static AdaptiveRecvByteBufAllocator readSizes() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
    }

    /** Returns where the node listens, as {@code ip:port} with the real port. */
    public String address() {
        InetSocketAddress local = (InetSocketAddress) server.localAddress();
        return HostAndPort.fromParts(InetAddresses.toAddrString(local.getAddress()), local.getPort())
                .toString();
    }

    /** Returns the bytes received since the start. */
    public long bytesReceived() {
        return bytes.received();
    }

    /** Returns the bytes sent since the start. */
    public long bytesSent() {
        return bytes.sent();
    }

    @Override
    public CompletableFuture<Message> call(String address, Message message, long timeoutMs) {
        CompletableFuture<Message> future = new CompletableFuture<>();
        try {
            peers.computeIfAbsent(address, this::peer).call(message, timeoutMs, future);
        } catch (RejectedExecutionException e) {
            future.completeExceptionally(
                    new PollenreachException(ResultCode.PEER_UNREACHABLE, null, "this process is shutting down", e));
        } catch (PollenreachException e) {
            future.completeExceptionally(new PollenreachException(
                    ResultCode.PEER_UNREACHABLE, e.field().orElse(null), e.getMessage(), e));
        }
        return future;
    }

    private Peer peer(String address) {
        Bootstrap bootstrap = new Bootstrap()
                .group(threads.group().next())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, threads.allocator())
                .option(ChannelOption.RCVBUF_ALLOCATOR, readSizes());
        return new Peer(address, parse(address), bootstrap, this::withPipeline, clock);
    }

    private Bootstrap withPipeline(Bootstrap bootstrap, EnvelopeHandler last) {
        return bootstrap.handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(bytes, new FrameDecoder(), last);
            }
        });
    }

    private static InetSocketAddress parse(String address) {
        try {
            HostAndPort parsed = HostAndPort.fromString(address);
            return new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
        } catch (IllegalArgumentException | IllegalStateException | NullPointerException e) {
            throw new PollenreachException(ResultCode.OUT_OF_RANGE, "address", "not ip:port: " + address, e);
        }
    }

    @Override
    public void close() {
        if (server != null) {
            server.close().awaitUninterruptibly();
        }
        try {
            peers.values().forEach(Peer::close);
        } catch (RejectedExecutionException e) {
            return;
        }
        accepted.close().awaitUninterruptibly();
        if (ownThreads) {
            threads.close();
        }
    }
}
