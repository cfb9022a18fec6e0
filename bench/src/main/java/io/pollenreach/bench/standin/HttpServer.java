package io.pollenreach.bench.standin;

import java.net.InetAddress;

import com.google.common.net.HostAndPort;
import ratpack.handling.Handler;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfig;

/** Starts and stops a Ratpack server. Safe for use by many threads. */
final class HttpServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 16 << 20;

    private final String ip;
    private final RatpackServer server;

    /** Starts a server at {@code ip:port}; port 0 picks a free one. */
    HttpServer(String address, int threads, Handler handler) throws Exception {
        HostAndPort at = HostAndPort.fromString(address);
        ip = at.getHost();
        InetAddress bindTo = InetAddress.getByName(ip);
        server = RatpackServer.start(s -> s.serverConfig(ServerConfig.builder()
                        .address(bindTo)
                        .port(at.getPort())
                        .threads(threads)
                        .maxContentLength(MAX_BODY_BYTES)
                        .development(false))
                .handler(r -> handler));
    }

    /** Returns where it listens, as {@code ip:port}. */
    String address() {
        return ip + ":" + server.getBindPort();
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }
}
