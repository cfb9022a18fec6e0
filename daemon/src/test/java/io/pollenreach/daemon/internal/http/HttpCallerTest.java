package io.pollenreach.daemon.internal.http;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.reflect.Field;
import java.net.InetAddress;
import java.net.MalformedURLException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import org.junit.jupiter.api.Test;
import sun.misc.Unsafe;

import static org.assertj.core.api.Assertions.assertThat;

class HttpCallerTest {
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final byte[] BODY = {'x'};

    // Guards against a write that is repeated behind the caller's back: on a connection that was used before and ends
    // without an answer, the call fails as one that may have been seen, and is sent no second time.
    @Test
    void sendsACallOnceThoughItsConnectionEndsWithoutAnAnswer() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                HttpCaller caller = new HttpCaller(1, 2)) {
            Thread answering = new Thread(() -> answerFirstCallOnly(server, calls));
            answering.setDaemon(true);
            answering.start();
            URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort() + "/write");
            caller.call("POST", uri, Map.of(), BODY, 5_000).join();

            assertThat(caller.call("POST", uri, Map.of(), BODY, 5_000))
                    .failsWithin(Duration.ofSeconds(20))
                    .withThrowableThat()
                    .havingCause()
                    .matches(t -> PollenreachException.of(t).code() == ResultCode.PEER_TIMEOUT);
            // A call that is repeated comes on a new connection, which the server reads as well.
            caller.call("POST", uri, Map.of("Last", "yes"), BODY, 5_000)
                    .exceptionally(t -> null)
                    .join();
            assertThat(calls).hasValue(3);
        }
    }

    private static void answerFirstCallOnly(ServerSocket server, AtomicInteger calls) {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                while (readCall(in)) {
                    if (calls.incrementAndGet() > 1) {
                        break;
                    }
                    socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                // The caller closed its connection.
            }
        }
    }

    private static boolean readCall(BufferedReader in) throws IOException {
        String line = in.readLine();
        if (line == null) {
            return false;
        }
        while (!line.isEmpty()) {
            line = in.readLine();
        }
        return in.read() == BODY[0];
    }

    private static URL url(String path) {
        try {
            return Path.of(path).toUri().toURL();
        } catch (MalformedURLException e) {
            throw new IllegalStateException(e);
        }
    }

    // Guards against a process that starts and then answers nothing: its first call as a server and the first answer to
    // it as a client came at once, and their threads waited for each other to initialise two classes of Ratpack.
    @Test
    void initialisesTheClassesThatWaitForEachOtherBeforeItsFirstCall() throws Exception {
        URL[] classPath = Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .map(HttpCallerTest::url)
                .toArray(URL[]::new);
        Field field = Unsafe.class.getDeclaredField("theUnsafe");
        field.setAccessible(true);
        Unsafe unsafe = (Unsafe) field.get(null);
        // A loader of its own, in which no other test has used the classes.
        try (URLClassLoader fresh = new URLClassLoader(classPath, ClassLoader.getPlatformClassLoader())) {
            Class.forName(HttpCaller.class.getName(), true, fresh);

            for (String name : new String[] {"ratpack.http.Status", "ratpack.http.internal.DefaultStatus"}) {
                Class<?> type = Class.forName(name, false, fresh);
                assertThat(unsafe.shouldBeInitialized(type)).as(name).isFalse();
            }
        }
    }
}
