package io.pollenreach.daemon.internal.rpc;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Cuts the byte stream into frames and reports a frame that the end of the stream cuts short.
 *
 * <p>Used by the event loop of one channel only.
 */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {
    private static final int LENGTH_BYTES = 4;

    FrameDecoder() {
        super(EnvelopeCodec.MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        super.decodeLast(ctx, in, out);
        if (out.isEmpty() && in.isReadable()) {
            int left = in.readableBytes();
            in.skipBytes(left);
            throw new CorruptedFrameException("frame cut after " + left + " bytes");
        }
    }
}
