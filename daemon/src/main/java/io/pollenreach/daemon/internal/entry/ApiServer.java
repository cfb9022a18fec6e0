package io.pollenreach.daemon.internal.entry;

import java.net.InetAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import com.google.common.net.HostAndPort;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import ratpack.error.ClientErrorHandler;
import ratpack.error.ServerErrorHandler;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/**
 * The HTTP server of the resource API.
 *
 * <p>Invariant: while the entry is not ready, only status, health, readiness and metrics are answered. Safe for use by
 * many threads.
 */
final class ApiServer implements AutoCloseable {
    private static final int THREADS = 4;

    private final AtomicInteger open = new AtomicInteger();
    private volatile boolean draining;
    private RatpackServer server;

    private ApiServer() {}

    /** Starts to serve; {@code resources} adds the paths under {@code v1} that need readiness. */
    static ApiServer start(
            String address, int maxBodyBytes, BooleanSupplier ready, Action<Chain> status, Action<Chain> resources)
            throws Exception {
        HostAndPort at = HostAndPort.fromString(address);
        ApiServer api = new ApiServer();
        api.server = RatpackServer.start(s -> s.serverConfig(c -> c.address(InetAddress.getByName(at.getHost()))
                        .port(at.getPort())
                        .threads(THREADS)
                        .registerShutdownHook(false)
                        .development(false)
                        // Twice the limit, so that the handler can answer with the numbered code.
                        .maxContentLength(maxBodyBytes * 2))
                .registryOf(r -> r.add(ServerErrorHandler.class, ApiServer::serverError)
                        .add(ClientErrorHandler.class, ApiServer::clientError))
                .handlers(chain -> {
                    status.execute(chain);
                    chain.prefix("v1", v1 -> {
                        v1.all(ctx -> api.admit(ctx, ready));
                        resources.execute(v1);
                    });
                }));
        return api;
    }

    private void admit(Context ctx, BooleanSupplier ready) {
        if (draining) {
            refuse(ctx, ResultCode.DRAINING, "ask another entry");
            return;
        }
        if (!ready.getAsBoolean()) {
            refuse(ctx, ResultCode.NOT_READY, "no configuration is known yet");
            return;
        }
        open.incrementAndGet();
        ctx.onClose(o -> open.decrementAndGet());
        ctx.next();
    }

    private static void refuse(Context ctx, ResultCode code, String why) {
        Reply.failure(new PollenreachException(code, why)).send(ctx);
    }

    /** Refuses new calls from now on; open calls are still answered. */
    void drain() {
        draining = true;
    }

    /** Returns how many calls are open. */
    int open() {
        return open.get();
    }

    private static void serverError(Context ctx, Throwable t) {
        Reply.failure(t).send(ctx);
    }

    private static void clientError(Context ctx, int status) {
        ResultCode code = status == 413 ? ResultCode.TOO_LARGE : ResultCode.NOT_FOUND;
        String detail = ctx.getRequest().getMethod() + " /" + ctx.getRequest().getPath();
        Reply failure = Reply.failure(new PollenreachException(code, detail));
        new Reply(status, failure.contentType(), failure.body(), failure.headers()).send(ctx);
    }

    int port() {
        return server.getBindPort();
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }
}
