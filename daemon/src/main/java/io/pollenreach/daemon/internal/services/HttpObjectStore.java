package io.pollenreach.daemon.internal.services;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.daemon.internal.http.HttpCaller;

/** The platform's object store over HTTP. Immutable, so safe for use by many threads. */
public final class HttpObjectStore implements ObjectStore {
    private static final byte[] EMPTY = {};

    private final PlatformCalls calls;

    /**
     * Creates a client.
     *
     * @param http sends the calls
     * @param platformUri the platform's base address, such as {@code http://127.0.0.1:7000}
     * @param timeoutMs milliseconds until a call fails
     */
    public HttpObjectStore(HttpCaller http, String platformUri, long timeoutMs) {
        calls = new PlatformCalls(http, platformUri, timeoutMs);
    }

    @Override
    public CompletableFuture<Optional<byte[]>> get(String bucket, String key) {
        return calls.read(PlatformCalls.path("objects", bucket, key))
                .thenApply(r -> PlatformCalls.missing(r) ? Optional.empty() : Optional.of(r.body()));
    }

    @Override
    public CompletableFuture<Void> put(String bucket, String key, byte[] content) {
        return calls.write("PUT", PlatformCalls.path("objects", bucket, key), content, calls.timeoutMs())
                .thenApply(r -> null);
    }

    @Override
    public CompletableFuture<Void> delete(String bucket, String key) {
        return calls.write("DELETE", PlatformCalls.path("objects", bucket, key), EMPTY, calls.timeoutMs())
                .thenApply(r -> null);
    }
}
