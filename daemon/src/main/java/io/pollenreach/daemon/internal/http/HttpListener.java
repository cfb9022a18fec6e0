package io.pollenreach.daemon.internal.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.process.EventLoops;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.http.Request;
import ratpack.http.Response;
import ratpack.server.RatpackServer;

/**
 * A server whose calls one function answers.
 *
 * <p>Safe for use by many threads.
 */
public final class HttpListener implements AutoCloseable {
    /** Answers calls; a failed future becomes the status of its result code. */
    @FunctionalInterface
    public interface Answerer {
        /** Answers a call. */
        CompletableFuture<HttpServerResponse> answer(HttpServerRequest call);
    }

    private static final Events EVENTS = Events.of(HttpListener.class);

    private final AtomicInteger open = new AtomicInteger();
    private volatile boolean closing;
    private volatile boolean closed;
    private RatpackServer server;

    private HttpListener() {}

    /**
     * Starts to listen.
     *
     * @param address where, as {@code ip:port}
     * @param threads how many threads take calls
     * @param maxBodyBytes the largest body that is read
     * @param answerer answers the calls
     * @return the listener; fails with {@code OUT_OF_RANGE} when the address cannot be used
     */
    public static HttpListener start(String address, int threads, int maxBodyBytes, Answerer answerer) {
        HttpListener listener = new HttpListener();
        try {
            ListenerConfig config = ListenerConfig.of(address, threads, maxBodyBytes);
            listener.server = RatpackServer.start(spec ->
                    spec.serverConfig(config).handlers(chain -> chain.all(ctx -> listener.handle(ctx, answerer))));
            listener.server
                    .getRegistry()
                    .flatMap(r -> r.maybeGet(ExecController.class))
                    .ifPresent(exec ->
                            EventLoops.require("listener-" + address, exec.getEventLoopGroup(), () -> listener.closed));
            return listener;
        } catch (Exception e) {
            String detail = "cannot listen on " + address + ": " + e.getMessage();
            throw new PollenreachException(ResultCode.OUT_OF_RANGE, "address", detail, e);
        }
    }

    private void handle(Context ctx, Answerer answerer) {
        open.incrementAndGet();
        ctx.onClose(o -> open.decrementAndGet());
        Request request = ctx.getRequest();
        request.getBody()
                .map(body -> call(request, body.getBytes()))
                .flatMap(call -> Promise.async(down -> down.accept(answer(answerer, call))))
                .onError(t -> send(ctx, HttpServerResponse.failure(PollenreachException.of(t))))
                .then(answer -> send(ctx, (HttpServerResponse) answer));
    }

    private static CompletableFuture<HttpServerResponse> answer(Answerer answerer, HttpServerRequest call) {
        try {
            return answerer.answer(call).exceptionally(t -> HttpServerResponse.failure(PollenreachException.of(t)));
        } catch (RuntimeException e) {
            PollenreachException failure = PollenreachException.of(e);
            if (failure.code() == ResultCode.INTERNAL) {
                EVENTS.warn("call-failed", "method", call.method(), "path", call.path(), "error", String.valueOf(e));
            }
            return CompletableFuture.completedFuture(HttpServerResponse.failure(failure));
        }
    }

    private static HttpServerRequest call(Request request, byte[] body) {
        String host = Optional.ofNullable(request.getHeaders().get("Host")).orElse("");
        return new HttpServerRequest(
                request.getMethod().getName(),
                // The port that clients may add says nothing.
                host.contains(":") ? host.substring(0, host.indexOf(':')) : host,
                '/' + request.getPath(),
                name -> Optional.ofNullable(request.getQueryParams().get(name)),
                name -> Optional.ofNullable(request.getHeaders().get(name)),
                body);
    }

    private void send(Context ctx, HttpServerResponse answer) {
        Response response = ctx.getResponse().status(answer.status());
        answer.headers().forEach((k, v) -> response.getHeaders().set(k, v));
        if (closing) {
            response.getHeaders().set("Connection", "close");
        }
        if (answer.body().length == 0) {
            response.send();
        } else {
            response.send("application/json", answer.body());
        }
    }

    /** Asks callers, with each answer from now on, to use another connection. */
    public void discourage() {
        closing = true;
    }

    /** Returns how many calls are under way. */
    public int open() {
        return open.get();
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return server.getBindPort();
    }

    @Override
    public void close() {
        closed = true;
        stop(server);
    }

    static void stop(RatpackServer server) {
        try {
            server.stop();
        } catch (Exception e) {
            throw new PollenreachException(ResultCode.INTERNAL, null, "the HTTP server did not stop", e);
        }
    }
}
