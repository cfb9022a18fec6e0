package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** A small HTTP server with JSON bodies on a loopback address. */
final class Http implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();

    /** A request. */
    record Call(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] bytes) {
        JsonNode body() throws IOException {
            return bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes);
        }

        String parameter(String name) {
            return query.getOrDefault(name, "");
        }
    }

    /** A response; without a body where {@code body} is null. */
    record Answer(int status, ObjectNode body) {}

    interface Handler {
        Answer answer(Call call) throws Exception;
    }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r, "http");
        t.setDaemon(true);
        return t;
    });

    Http(String ip, int port, Handler handler) throws IOException {
        InetAddress address = InetAddress.getByName(ip);
        if (!address.isLoopbackAddress()) {
            throw new IOException(ip + " is no loopback address");
        }
        server = HttpServer.create(new InetSocketAddress(address, port), 200);
        server.setExecutor(threads);
        server.createContext("/", e -> serve(e, handler));
        server.start();
    }

    private static void serve(HttpExchange e, Handler handler) throws IOException {
        Map<String, String> query = new HashMap<>();
        String raw = e.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                int at = pair.indexOf('=');
                query.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
            }
        }
        Map<String, String> headers = new HashMap<>();
        e.getRequestHeaders().forEach((k, v) -> headers.put(k.toLowerCase(java.util.Locale.ROOT), v.get(0)));
        byte[] bytes = e.getRequestBody().readAllBytes();
        Answer answer;
        try {
            answer = handler.answer(
                    new Call(e.getRequestMethod(), e.getRequestURI().getPath(), query, headers, bytes));
        } catch (Exception x) {
            answer = new Answer(400, JSON.createObjectNode().put("error", String.valueOf(x)));
        }
        byte[] out = answer.body() == null ? new byte[0] : JSON.writeValueAsBytes(answer.body());
        e.getResponseHeaders().set("Content-Type", "application/json");
        e.sendResponseHeaders(answer.status(), out.length == 0 ? -1 : out.length);
        if (out.length > 0) {
            try (OutputStream o = e.getResponseBody()) {
                o.write(out);
            }
        }
        e.close();
    }

    /** Ends the server and breaks its channels, as a crash does. */
    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
