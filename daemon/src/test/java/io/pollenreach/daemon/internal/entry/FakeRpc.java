package io.pollenreach.daemon.internal.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.rpc.Rpc;
import io.pollenreach.internal.wire.Message;

/** Answers calls by a function and remembers them. Safe for use by many threads. */
final class FakeRpc implements Rpc {
    private final List<Message> calls = new ArrayList<>();
    private BiFunction<String, Message, CompletableFuture<Message>> answers =
            (a, m) -> failed(ResultCode.PEER_UNREACHABLE);

    synchronized void answer(BiFunction<String, Message, CompletableFuture<Message>> function) {
        answers = function;
    }

    @Override
    public CompletableFuture<Message> call(String address, Message message, long timeoutMs) {
        BiFunction<String, Message, CompletableFuture<Message>> f;
        synchronized (this) {
            calls.add(message);
            f = answers;
        }
        return f.apply(address, message);
    }

    synchronized <T> List<T> calls(Class<T> type) {
        return calls.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static CompletableFuture<Message> done(Message m) {
        return CompletableFuture.completedFuture(m);
    }

    static CompletableFuture<Message> failed(ResultCode code) {
        return CompletableFuture.failedFuture(new PollenreachException(code, "fake"));
    }
}
