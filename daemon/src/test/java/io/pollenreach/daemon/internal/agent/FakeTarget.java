package io.pollenreach.daemon.internal.agent;

import java.util.concurrent.CompletableFuture;

import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.Message;

/** A target that does nothing but report parts. Used by one thread. */
record FakeTarget(PartReporter parts) implements TargetAgent {
    @Override
    public CompletableFuture<Message> handle(Message message) {
        return new CompletableFuture<>();
    }

    @Override
    public void tick() {}

    @Override
    public boolean ready() {
        return true;
    }

    @Override
    public Load load() {
        return Load.NONE;
    }

    @Override
    public long incarnation() {
        return 1;
    }

    @Override
    public void setHomeLink(HomeLink link) {}

    @Override
    public CompletableFuture<Void> drain() {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stopAll() {
        return CompletableFuture.completedFuture(null);
    }
}
