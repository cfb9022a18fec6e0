package io.pollenreach.bench.link;

import java.net.InetSocketAddress;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Relays TCP connections to a server and makes them fail as told.
 *
 * <p>Data of one connection keeps its order whatever the delays. The seed decides the jitter. Safe for use by many
 * threads; {@link #close()} ends its threads and connections.
 *
 * <pre>{@code
 * try (FaultyLink link = new FaultyLink(platform.address(), 7)) {
 *     connectTo(link.address());
 *     link.set(LinkFaults.freeze());
 * }
 * }</pre>
 */
public final class FaultyLink implements AutoCloseable {
    private final EventLoopGroup loops = new NioEventLoopGroup(1);
    private final Set<Relay> relays = ConcurrentHashMap.newKeySet();
    private final Random random;
    private final InetSocketAddress target;
    private final Channel server;
    private volatile LinkFaults faults = LinkFaults.NONE;

    /**
     * Starts a link on an ephemeral port of 127.0.0.1.
     *
     * @param target where it relays to, as {@code ip:port}
     * @param seed the seed of its choices
     */
    public FaultyLink(String target, long seed) {
        HostAndPort to = HostAndPort.fromString(target);
        this.target = new InetSocketAddress(to.getHost(), to.getPort());
        random = new Random(seed);
        server = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel client) {
                        connect(client);
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns where it listens, as {@code ip:port}. */
    public String address() {
        return "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Sets the faults for new data and new connections; a cut also closes the connections that stand. */
    public void set(LinkFaults next) {
        faults = next;
        if (next.cut()) {
            relays.forEach(Relay::close);
        }
        relays.forEach(Relay::wake);
    }

    /** Closes the connections that stand and refuses none. */
    public void reset() {
        relays.forEach(Relay::close);
    }

    /** Returns how many connections stand. */
    public int connections() {
        return relays.size();
    }

    @Override
    public void close() {
        server.close().syncUninterruptibly();
        reset();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    LinkFaults faults() {
        return faults;
    }

    /** Chooses the delay of the next piece of data; called by the one event loop. */
    long nextDelayMs() {
        LinkFaults f = faults;
        return f.delayMs() + (f.jitterMs() > 0 ? random.nextInt((int) f.jitterMs() + 1) : 0);
    }

    void forget(Relay relay) {
        relays.remove(relay);
    }

    private void connect(Channel client) {
        if (faults.cut()) {
            client.close();
            return;
        }
        Relay relay = new Relay(this, client);
        relays.add(relay);
        // Both ends on the one event loop, so that a relay needs no lock.
        new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel upstream) {
                        relay.join(upstream);
                    }
                })
                .connect(target)
                .addListener(f -> relay.connected(f.isSuccess()));
    }
}
