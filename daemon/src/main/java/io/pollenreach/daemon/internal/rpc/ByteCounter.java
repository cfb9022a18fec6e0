package io.pollenreach.daemon.internal.rpc;

import java.util.concurrent.atomic.LongAdder;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Counts the bytes that pass through all channels of a node, length fields included.
 *
 * <p>Safe for use by many threads.
 */
@Sharable
final class ByteCounter extends ChannelDuplexHandler {
    private final LongAdder received = new LongAdder();
    private final LongAdder sent = new LongAdder();

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (msg instanceof ByteBuf) {
            received.add(((ByteBuf) msg).readableBytes());
        }
        ctx.fireChannelRead(msg);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
        if (msg instanceof ByteBuf) {
            sent.add(((ByteBuf) msg).readableBytes());
        }
        ctx.write(msg, promise);
    }

    long received() {
        return received.sum();
    }

    long sent() {
        return sent.sum();
    }
}
