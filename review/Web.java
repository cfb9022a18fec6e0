package third;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** Small HTTP servers and calls on loopback addresses. */
final class Web {
    static final String IP = "127.0.0.1";
    static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    private Web() {}

    /** An answer; a status of 0 closes the channel without one. */
    record Answer(int status, Object body) {}

    interface Handler {
        Answer answer(HttpExchange x, String path, Map<String, String> query, String body) throws Exception;
    }

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(IP, port), 512);
        server.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        }));
        server.createContext("/", x -> {
            try {
                String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                Map<String, String> query = new HashMap<>();
                String raw = x.getRequestURI().getRawQuery();
                if (raw != null) {
                    for (String pair : raw.split("&")) {
                        int eq = pair.indexOf('=');
                        query.put(
                                pair.substring(0, eq),
                                URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
                    }
                }
                Answer a = handler.answer(x, x.getRequestURI().getPath(), query, body);
                if (a.status() == 0) {
                    x.close();
                    return;
                }
                byte[] out = a.body() == null ? new byte[0] : J.write(a.body()).getBytes(StandardCharsets.UTF_8);
                x.getResponseHeaders().set("Content-Type", "application/json");
                x.sendResponseHeaders(a.status(), out.length == 0 ? -1 : out.length);
                if (out.length > 0) {
                    try (OutputStream o = x.getResponseBody()) {
                        o.write(out);
                    }
                }
            } catch (IOException e) {
                // The caller has gone.
            } catch (Exception e) {
                e.printStackTrace();
            } finally {
                x.close();
            }
        });
        server.start();
        return server;
    }

    static HttpResponse<String> call(String address, String method, String path, String body, long timeoutMs, String... headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder b = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(timeoutMs))
                .header("Content-Type", "application/json")
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        for (int i = 0; i < headers.length; i += 2) {
            b.header(headers[i], headers[i + 1]);
        }
        return CLIENT.send(b.build(), HttpResponse.BodyHandlers.ofString());
    }
}
