package io.pollenreach.daemon.internal.agent;

import java.net.URI;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.daemon.internal.http.HttpClientResponse;

/**
 * Makes HTTP calls to the runner, with the failures of {@link io.pollenreach.daemon.internal.http.HttpCaller}.
 *
 * <p>Implementations are safe for use by many threads.
 */
@FunctionalInterface
interface RunnerCalls {
    /** Sends a call; fails with {@code PEER_UNREACHABLE} only when surely nothing was sent. */
    CompletableFuture<HttpClientResponse> call(
            String method, URI uri, Map<String, String> headers, byte[] body, long timeoutMs);
}
