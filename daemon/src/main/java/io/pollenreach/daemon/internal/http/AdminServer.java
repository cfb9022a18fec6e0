package io.pollenreach.daemon.internal.http;

import java.util.function.BooleanSupplier;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.server.RatpackServer;

/**
 * The HTTP server of a daemon: {@code /metrics}, {@code /health} and {@code /ready}, and what the daemon adds.
 *
 * <p>Safe for use by many threads.
 */
public final class AdminServer implements AutoCloseable {
    private static final int THREADS = 1;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int UNAVAILABLE = 503;

    private final RatpackServer server;

    private AdminServer(RatpackServer server) {
        this.server = server;
    }

    /**
     * Starts a server.
     *
     * @param address where it listens, as {@code ip:port}; port 0 picks a free one
     * @param registry the metrics that it shows
     * @param ready whether the daemon takes work
     * @param more further handlers
     * @return the running server; fails with {@code OUT_OF_RANGE} when the address cannot be used
     */
    public static AdminServer start(
            String address, PrometheusMeterRegistry registry, BooleanSupplier ready, Action<? super Chain> more) {
        try {
            ListenerConfig config = ListenerConfig.of(address, THREADS, MAX_BODY_BYTES);
            return new AdminServer(RatpackServer.start(
                    spec -> spec.serverConfig(config).handlers(chain -> handlers(chain, registry, ready, more))));
        } catch (Exception e) {
            String detail = "cannot listen on " + address + ": " + e.getMessage();
            throw new PollenreachException(ResultCode.OUT_OF_RANGE, "httpAddress", detail, e);
        }
    }

    private static void handlers(
            Chain chain, PrometheusMeterRegistry registry, BooleanSupplier ready, Action<? super Chain> more)
            throws Exception {
        chain.get("metrics", ctx -> ctx.getResponse().send("text/plain; version=0.0.4", registry.scrape()));
        chain.get("health", ctx -> ctx.render("ok\n"));
        chain.get("ready", ctx -> {
            boolean takesWork = ready.getAsBoolean();
            ctx.getResponse().status(takesWork ? 200 : UNAVAILABLE);
            ctx.render(takesWork ? "ready\n" : "not ready\n");
        });
        more.execute(chain);
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return server.getBindPort();
    }

    @Override
    public void close() {
        HttpListener.stop(server);
    }
}
