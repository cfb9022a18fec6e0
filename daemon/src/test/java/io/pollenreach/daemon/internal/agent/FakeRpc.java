package io.pollenreach.daemon.internal.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.rpc.Rpc;
import io.pollenreach.daemon.internal.rpc.RpcHandler;
import io.pollenreach.internal.wire.Message;

/** Calls in memory between addresses, some of which can be cut off. Used by one thread. */
final class FakeRpc {
    final Map<String, RpcHandler> handlers = new HashMap<>();
    final Set<String> cut = new HashSet<>();
    final List<String> log = new ArrayList<>();

    Rpc from(String sender) {
        return (address, message, timeoutMs) -> call(sender, address, message);
    }

    private CompletableFuture<Message> call(String sender, String address, Message message) {
        log.add(address + " " + message.getClass().getSimpleName());
        RpcHandler handler = handlers.get(address);
        if (cut.contains(sender) || cut.contains(address) || handler == null) {
            return CompletableFuture.failedFuture(new PollenreachException(ResultCode.PEER_UNREACHABLE, address));
        }
        try {
            return handler.handle(message);
        } catch (PollenreachException e) {
            return CompletableFuture.failedFuture(e);
        }
    }
}
