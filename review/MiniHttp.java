package second;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server on a loopback address, one thread a connection. Safe for use by many threads. */
final class MiniHttp implements Closeable {
    /** A call that came in. */
    record Call(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {}

    /** What becomes of a call. */
    record Answer(Kind kind, int status, byte[] body) {
        enum Kind {
            SEND,
            /** The connection stays open and carries nothing any more. */
            SILENT,
            /** The connection is reset. */
            RESET
        }

        static Answer of(int status, String body) {
            return new Answer(Kind.SEND, status, body.getBytes(StandardCharsets.UTF_8));
        }

        static Answer silent() {
            return new Answer(Kind.SILENT, 0, new byte[0]);
        }

        static Answer reset() {
            return new Answer(Kind.RESET, 0, new byte[0]);
        }
    }

    /** Answers a call; may block. */
    interface Handler {
        Answer handle(Call call) throws Exception;
    }

    private final ServerSocket server;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Set<Socket> silenced = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    MiniHttp(String ip, Handler handler) throws IOException {
        this.handler = handler;
        server = new ServerSocket(0, 256, InetAddress.getByName(ip));
        daemon(this::accept, "accept");
    }

    int port() {
        return server.getLocalPort();
    }

    /** Lets all open connections carry nothing any more; new ones work. */
    void silenceOpenConnections() {
        silenced.addAll(open);
    }

    private static void daemon(Runnable work, String name) {
        Thread t = new Thread(work, name);
        t.setDaemon(true);
        t.start();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                open.add(s);
                daemon(() -> serve(s), "connection");
            } catch (IOException e) {
                if (!closed) {
                    e.printStackTrace();
                }
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            while (!closed) {
                Call call = read(in);
                // What comes on a silenced connection is lost; an answer that is under way is lost, too.
                Answer a = silenced.contains(s) ? Answer.silent() : handler.handle(call);
                a = silenced.contains(s) ? Answer.silent() : a;
                switch (a.kind()) {
                    case SEND -> send(s, a);
                    case SILENT -> {
                        while (in.read() >= 0) {
                            // Whatever else comes on this connection is not answered.
                        }
                        return;
                    }
                    default -> {
                        s.setSoLinger(true, 0);
                        return;
                    }
                }
            }
        } catch (EOFException e) {
            // The peer has closed its connection.
        } catch (Exception e) {
            if (!closed && !(e instanceof IOException)) {
                e.printStackTrace();
            }
        } finally {
            open.remove(s);
            silenced.remove(s);
        }
    }

    private static void send(Socket s, Answer a) throws IOException {
        String head = "HTTP/1.1 " + a.status() + " x\r\nContent-Type: application/json\r\nContent-Length: "
                + a.body().length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.US_ASCII));
        all.write(a.body());
        s.getOutputStream().write(all.toByteArray());
        s.getOutputStream().flush();
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            if (c != '\r') {
                b.write(c);
            }
        }
        return b.toString(StandardCharsets.US_ASCII);
    }

    private static Call read(InputStream in) throws IOException {
        String[] first = line(in).split(" ");
        Map<String, String> headers = new HashMap<>();
        for (String l = line(in); !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
        }
        byte[] body;
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int n = Integer.parseInt(line(in), 16); n > 0; n = Integer.parseInt(line(in), 16)) {
                all.write(in.readNBytes(n));
                line(in);
            }
            line(in);
            body = all.toByteArray();
        } else {
            body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }
        int q = first[1].indexOf('?');
        Map<String, String> query = new HashMap<>();
        if (q >= 0) {
            for (String pair : first[1].substring(q + 1).split("&")) {
                int eq = pair.indexOf('=');
                query.put(
                        pair.substring(0, eq),
                        java.net.URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        return new Call(first[0], q < 0 ? first[1] : first[1].substring(0, q), query, headers, body);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
        for (Socket s : open) {
            s.close();
        }
    }
}
