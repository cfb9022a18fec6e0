package io.pollenreach.daemon.internal.agent;

import java.net.URI;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.daemon.internal.http.HttpClientResponse;

/**
 * Makes HTTP calls to the runner, failing with the same codes as
 * {@link io.pollenreach.daemon.internal.http.HttpCaller}.
 *
 * <p>Implementations are safe for use by many threads.
 */
@FunctionalInterface
interface RunnerCalls {
    /** Sends a request; fails with {@code PEER_UNREACHABLE} only if not a single byte of it was sent. */
    CompletableFuture<HttpClientResponse> call(
            String method, URI uri, Map<String, String> headers, byte[] body, long timeoutMs);
}
