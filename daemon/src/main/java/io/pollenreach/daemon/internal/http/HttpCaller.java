package io.pollenreach.daemon.internal.http;

import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.process.EventLoops;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.http.Status;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;

/**
 * Makes HTTP calls with Ratpack's client and turns them into futures.
 *
 * <p>Safe for use by many threads. {@link #close()} ends its threads when it made them itself.
 */
public final class HttpCaller implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 8 << 20;

    static {
        // Ratpack's Status and DefaultStatus initialise each other. A server's first call begins with the one and a
        // client's
        // first answer with the other, and if both come at once, their threads wait for each other for good.
        Status.OK.getCode();
    }

    private final ExecController exec;
    private final HttpClient client;
    /**
     * Where all calls run. Ratpack's pool loses connections for good that are cut while calls of one host run on several
     * event loops, until no call gets one.
     */
    private final EventLoop loop;

    private volatile boolean closed;

    /** Creates a caller with its own threads. */
    public HttpCaller(int threads, int connectionsPerHost) throws Exception {
        exec = new DefaultExecController(threads);
        loop = exec.getEventLoopGroup().next();
        EventLoops.require("http-calls", exec.getEventLoopGroup(), () -> closed);
        client = HttpClient.of(s -> s.poolSize(connectionsPerHost)
                .poolQueueSize(connectionsPerHost * 64)
                .byteBufAllocator(PooledByteBufAllocator.DEFAULT)
                // Addresses are numeric; Ratpack's resolver would load a DNS client.
                .useJdkAddressResolver()
                .connectTimeout(Duration.ofSeconds(1))
                .maxContentLength(MAX_BODY_BYTES)
                .execController(exec));
    }

    /**
     * Sends a call and waits for the whole answer.
     *
     * @param method the HTTP method
     * @param uri where to
     * @param headers headers to send
     * @param body the body; may be empty
     * @param timeoutMs milliseconds until the call fails
     * @return the answer; fails with {@code PEER_UNREACHABLE} when no connection was made, so that surely nothing was
     *     sent, and with {@code PEER_TIMEOUT} when the receiver may have seen the call
     */
    public CompletableFuture<HttpClientResponse> call(
            String method, URI uri, Map<String, String> headers, byte[] body, long timeoutMs) {
        CompletableFuture<HttpClientResponse> future = new CompletableFuture<>();
        exec.fork()
                .eventLoop(loop)
                .onError(t -> future.completeExceptionally(failure(uri, t)))
                .start(e -> send(method, uri, headers, body, timeoutMs, future));
        return future;
    }

    private void send(
            String method,
            URI uri,
            Map<String, String> headers,
            byte[] body,
            long timeoutMs,
            CompletableFuture<HttpClientResponse> future) {
        client.request(uri, spec -> {
                    spec.method(method);
                    spec.readTimeout(Duration.ofMillis(timeoutMs));
                    headers.forEach((k, v) -> spec.getHeaders().set(k, v));
                    if (body.length > 0) {
                        spec.getBody().bytes(body);
                    }
                })
                .onError(t -> future.completeExceptionally(failure(uri, t)))
                .then(r -> future.complete(reply(r)));
    }

    private static HttpClientResponse reply(ReceivedResponse r) {
        String type =
                Optional.ofNullable(r.getBody().getContentType().getType()).orElse("");
        String id = Optional.ofNullable(r.getHeaders().get("X-Request-Id")).orElse("");
        String code =
                Optional.ofNullable(r.getHeaders().get("Pollenreach-Code")).orElse("");
        return new HttpClientResponse(r.getStatusCode(), type, r.getBody().getBytes(), id, code);
    }

    private static PollenreachException failure(URI uri, Throwable t) {
        boolean nothingSent = t instanceof ConnectException || t.getCause() instanceof ConnectException;
        ResultCode code = nothingSent ? ResultCode.PEER_UNREACHABLE : ResultCode.PEER_TIMEOUT;
        return new PollenreachException(code, null, uri.getAuthority() + ": " + t, t);
    }

    /** Returns the execution controller, for servers that share its threads. */
    public ExecController exec() {
        return exec;
    }

    @Override
    public void close() {
        closed = true;
        client.close();
        exec.close();
    }
}
