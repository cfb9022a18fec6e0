package io.pollenreach.bench.link;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection through a link, with a direction each way.
 *
 * <p>Both ends run on the link's one event loop, which guards all fields; {@link #close()} and {@link #wake()} may be
 * called from any thread.
 */
final class Relay {
    private final FaultyLink link;
    private final Channel client;
    private Channel upstream;
    private Direction toUpstream;
    private Direction toClient;
    private long carriedBytes;
    private boolean closed;

    Relay(FaultyLink link, Channel client) {
        this.link = link;
        this.client = client;
        client.closeFuture().addListener(f -> close());
    }

    void join(Channel up) {
        upstream = up;
        toUpstream = new Direction(up);
        toClient = new Direction(client);
        client.pipeline().addLast(toUpstream);
        up.pipeline().addLast(toClient);
        up.closeFuture().addListener(f -> close());
    }

    void connected(boolean success) {
        if (!success || closed) {
            closeNow();
            return;
        }
        client.config().setAutoRead(true);
        upstream.config().setAutoRead(true);
    }

    /** Closes both ends. */
    void close() {
        client.eventLoop().execute(this::closeNow);
    }

    /** Lets data go on that a freeze held back. */
    void wake() {
        client.eventLoop().execute(() -> {
            if (toUpstream != null) {
                toUpstream.drain();
                toClient.drain();
            }
        });
    }

    private void closeNow() {
        closed = true;
        link.forget(this);
        client.close();
        if (upstream != null) {
            upstream.close();
            toUpstream.discard();
            toClient.discard();
        }
    }

    /** Holds data back until it is due and the link is not frozen. */
    private final class Direction extends ChannelInboundHandlerAdapter {
        private final Channel to;
        private final ArrayDeque<Piece> held = new ArrayDeque<>();
        private long lastDueNs;

        Direction(Channel to) {
            this.to = to;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf data = (ByteBuf) message;
            if (closed) {
                data.release();
                return;
            }
            long dueNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(link.nextDelayMs());
            // A piece never overtakes the one before it.
            lastDueNs = Math.max(lastDueNs, dueNs);
            held.add(new Piece(data, lastDueNs));
            drain();
        }

        void drain() {
            while (!closed && !held.isEmpty() && !link.faults().frozen()) {
                long waitNs = held.peek().dueNs - System.nanoTime();
                if (waitNs > 0) {
                    to.eventLoop().schedule(this::drain, waitNs, TimeUnit.NANOSECONDS);
                    return;
                }
                forward(held.poll().data);
            }
        }

        private void forward(ByteBuf data) {
            long limit = link.faults().dropAfterBytes();
            long room = limit == 0 ? Long.MAX_VALUE : Math.max(0, limit - carriedBytes);
            carriedBytes += data.readableBytes();
            if (data.readableBytes() <= room) {
                to.writeAndFlush(data);
                return;
            }
            ByteBuf part = data.readRetainedSlice((int) room);
            data.release();
            to.writeAndFlush(part).addListener(f -> closeNow());
        }

        void discard() {
            held.forEach(p -> ReferenceCountUtil.release(p.data));
            held.clear();
        }
    }

    private record Piece(ByteBuf data, long dueNs) {}
}
