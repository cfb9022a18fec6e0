package io.pollenreach.daemon.internal.rpc;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.internal.wire.Failure;
import io.pollenreach.internal.wire.Message;

/**
 * One outgoing connection and the calls that wait for answers on it.
 *
 * <p>Invariants: each call completes exactly once; a call that timed out before the connection stood is never sent; an
 * answer with an unknown id is ignored. Confined to one event loop.
 */
final class Connection extends EnvelopeHandler {
    /** Timeouts without any byte received in between after which a connection takes no new calls. */
    private static final int MAX_SILENT_TIMEOUTS = 2;

    private final String address;
    private final EventLoop loop;
    private final Map<Long, Call> calls = new HashMap<>();
    private Channel channel;
    private int silentTimeouts;
    private boolean retired;

    private static final class Call {
        private final byte[] frame;
        private final CompletableFuture<Message> future;
        private boolean sent;
        private ScheduledFuture<?> timeout;

        private Call(byte[] frame, CompletableFuture<Message> future) {
            this.frame = frame;
            this.future = future;
        }
    }

    Connection(String address, EventLoop loop) {
        this.address = address;
        this.loop = loop;
    }

    /** Tells whether the connection still takes new calls. */
    boolean usable() {
        return !retired;
    }

    /** Tells whether no call waits. */
    boolean idle() {
        return calls.isEmpty();
    }

    void call(long id, byte[] frame, long timeoutMs, CompletableFuture<Message> future) {
        Call call = new Call(frame, future);
        calls.put(id, call);
        call.timeout = loop.schedule(() -> expire(id), timeoutMs, TimeUnit.MILLISECONDS);
        if (channel != null) {
            send(call);
        }
    }

    private void send(Call call) {
        call.sent = true;
        EnvelopeHandler.send(channel, call.frame);
    }

    private void expire(long id) {
        Call call = calls.remove(id);
        if (call == null) {
            return;
        }
        silentTimeouts++;
        if (silentTimeouts >= MAX_SILENT_TIMEOUTS) {
            retired = true;
        }
        fail(call, "no answer in time");
        closeIfDone();
    }

    /** Takes no new calls and closes once those that wait are done. */
    void retire() {
        retired = true;
        closeIfDone();
    }

    private void closeIfDone() {
        if (retired && calls.isEmpty() && channel != null) {
            channel.close();
        }
    }

    /** Fails all calls and takes no new ones. */
    void abort(String why) {
        retired = true;
        List<Call> failed = new ArrayList<>(calls.values());
        calls.clear();
        for (Call call : failed) {
            call.timeout.cancel(false);
            fail(call, why);
        }
        if (channel != null) {
            channel.close();
        }
    }

    private void fail(Call call, String why) {
        ResultCode code = call.sent ? ResultCode.PEER_TIMEOUT : ResultCode.PEER_UNREACHABLE;
        call.future.completeExceptionally(new PollenreachException(code, address + ": " + why));
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        calls.values().forEach(this::send);
        closeIfDone();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        abort("connection closed");
    }

    @Override
    void receive(Channel from, Envelope envelope) {
        silentTimeouts = 0;
        if (envelope.k() != Envelope.ANSWER) {
            throw new PollenreachException(ResultCode.BAD_FRAME, "call on an outgoing connection");
        }
        Call call = calls.remove(envelope.id());
        if (call == null) {
            return;
        }
        call.timeout.cancel(false);
        complete(call.future, envelope.m());
        closeIfDone();
    }

    private static void complete(CompletableFuture<Message> future, Message answer) {
        if (!(answer instanceof Failure)) {
            future.complete(answer);
            return;
        }
        Failure failure = (Failure) answer;
        ResultCode code = code(failure.code()).orElse(ResultCode.INTERNAL);
        future.completeExceptionally(new PollenreachException(code, failure.field(), failure.detail()));
    }

    private static Optional<ResultCode> code(int number) {
        for (ResultCode code : ResultCode.values()) {
            if (code.number() == number) {
                return Optional.of(code);
            }
        }
        return Optional.empty();
    }
}
