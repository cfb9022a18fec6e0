package io.pollenreach.daemon.internal.rpc;

import java.io.IOException;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;

/**
 * Decodes the frames of one channel and closes it on the first that it cannot read.
 *
 * <p>Used by the event loop of one channel only.
 */
abstract class EnvelopeHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Events EVENTS = Events.of(EnvelopeHandler.class);

    /** Takes one envelope; fails with a {@link PollenreachException} to close the channel. */
    abstract void receive(Channel channel, Envelope envelope);

    static ChannelFuture send(Channel channel, byte[] frame) {
        ByteBuf length = channel.alloc().buffer(Integer.BYTES).writeInt(frame.length);
        return channel.writeAndFlush(Unpooled.wrappedBuffer(length, Unpooled.wrappedBuffer(frame)));
    }

    @Override
    protected final void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        if (!ctx.channel().isActive()) {
            return;
        }
        try {
            receive(ctx.channel(), EnvelopeCodec.decode(ByteBufUtil.getBytes(frame)));
        } catch (PollenreachException e) {
            closeBecause(ctx, e.code(), e.getMessage());
        }
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException) {
            closeBecause(ctx, ResultCode.BAD_FRAME, cause.getMessage());
            return;
        }
        if (!(cause instanceof IOException)) {
            EVENTS.warn("rpc-failed", "code", ResultCode.INTERNAL.number(), "detail", cause);
        }
        ctx.close();
    }

    private static void closeBecause(ChannelHandlerContext ctx, ResultCode code, String detail) {
        EVENTS.warn(
                "frame-refused", "code", code.number(), "peer", ctx.channel().remoteAddress(), "detail", detail);
        ctx.close();
    }
}
