package io.pollenreach.daemon.internal.rpc;

import java.util.concurrent.CompletableFuture;

import io.netty.channel.Channel;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.internal.wire.Failure;
import io.pollenreach.internal.wire.Message;

/**
 * Passes the calls of one incoming connection to the node's handler and sends its answers back in any order.
 *
 * <p>Used by the event loop of one channel; answers may come from any thread.
 */
final class CallReceiver extends EnvelopeHandler {
    private final RpcHandler handler;

    CallReceiver(RpcHandler handler) {
        this.handler = handler;
    }

    @Override
    void receive(Channel channel, Envelope envelope) {
        if (envelope.k() != Envelope.CALL) {
            throw new PollenreachException(ResultCode.BAD_FRAME, "answer to a call that was never made");
        }
        handle(envelope.m()).whenComplete((m, t) -> answer(channel, envelope.id(), t == null ? m : failure(t)));
    }

    private CompletableFuture<Message> handle(Message message) {
        try {
            return handler.handle(message);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static void answer(Channel channel, long id, Message message) {
        byte[] frame;
        try {
            frame = EnvelopeCodec.encode(Envelope.answer(id, message));
        } catch (PollenreachException e) {
            frame = EnvelopeCodec.encode(Envelope.answer(id, failure(e)));
        }
        EnvelopeHandler.send(channel, frame);
    }

    private static Failure failure(Throwable t) {
        PollenreachException e = PollenreachException.of(t);
        return new Failure(e.code().number(), e.field().orElse(null), e.getMessage());
    }
}
