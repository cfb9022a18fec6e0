package io.pollenreach.systemtest;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Random;
import java.util.Set;

import io.pollenreach.daemon.internal.store.Tables;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;

import static org.assertj.core.api.Assertions.assertThat;

/** What operators of similar systems have met: silence, pauses, lost answers, malformed input and old state. */
class OperatorFaultsTest {
    private static final long END_MS = 60_000;
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final String ONE_TASK = "[{\"count\":1,\"gpu\":1}]";
    private static final int OK = 200;
    private static final int NOT_RUN = 503;

    /** Shorter than a worker's lease of 6 s, with the half second that passes before a thawed agent reports. */
    private static final long SHORT_PAUSE_MS = 3_500;

    /** Longer than the 5 s for which a withdrawn key may still be used. */
    private static final long LONG_PAUSE_MS = 6_000;

    private PlatformCluster cluster;

    @BeforeEach
    void start(TestInfo test) throws Exception {
        cluster = PlatformCluster.start(test.getTestMethod().orElseThrow().getName(), 2, 3);
    }

    @AfterEach
    void stop() throws Exception {
        cluster.close();
    }

    private Daemon leader() {
        String term = new String(
                Base64.getDecoder().decode(cluster.store().table(Tables.LEADER).get(Tables.TERM)),
                StandardCharsets.UTF_8);
        return cluster.entries().stream()
                .filter(e -> term.contains('"' + e + '"'))
                .map(cluster::daemon)
                .findFirst()
                .orElseThrow();
    }

    private int status(String entry, String method, String id, String body, String key) throws Exception {
        return cluster.call(entry, method, id, body, key).statusCode();
    }

    // A machine that only fell silent for a while had its running work started again elsewhere.
    @Test
    void keepsTheRunOfAWorkerWhoseAgentIsSilentForAWhile() throws Exception {
        String id = PlatformCluster.id(1);
        cluster.submit(id, "work=8000", ONE_TASK);
        cluster.awaitState(id, "running", END_MS);
        Await.until("started", END_MS, () -> cluster.record().starts(id + ".0.0.0") == 1);
        String worker = cluster.record().workers(id + ".0.0.0").iterator().next();
        Daemon agent = cluster.daemon(worker.replace("i-", ""));

        agent.freeze();
        Thread.sleep(SHORT_PAUSE_MS);
        agent.thaw();

        cluster.awaitState(id, "completed", END_MS);
        assertThat(cluster.record().starts(id + ".0.0.0")).isEqualTo(1);
        assertThat(cluster.record().violations()).isEmpty();
    }

    // Around a hand-over both leaders acted, and orders went out twice.
    @Test
    void sendsOrdersOnceAroundAHandOverFromAPausedLeader() throws Exception {
        List<String> ids = new ArrayList<>();
        Daemon paused = leader();
        for (int i = 0; i < 4; i++) {
            ids.add(PlatformCluster.id(10 + i));
            cluster.submit(ids.get(i), "work=400", "[{\"count\":3,\"gpu\":1}]");
        }
        paused.freeze();
        String other = cluster.entries().stream()
                .filter(e -> !e.equals(paused.name()))
                .findFirst()
                .orElseThrow();
        Await.until("another leader", END_MS, () -> !leader().name().equals(paused.name()));
        for (int i = 4; i < 8; i++) {
            String id = PlatformCluster.id(10 + i);
            ids.add(id);
            String body = "{\"specification\":\"work=400\",\"steps\":[{\"count\":3,\"gpu\":1}]}";
            Await.until("submitted " + id, END_MS, () -> status(other, "POST", id, body, PlatformCluster.KEY) == OK);
        }
        paused.thaw();

        for (String id : ids) {
            cluster.awaitState(id, "completed", END_MS);
            for (int task = 0; task < 3; task++) {
                assertThat(cluster.record().starts(id + ".0.0." + task)).isEqualTo(1);
            }
        }
        assertThat(cluster.record().violations()).isEmpty();
    }

    // A process that had been paused acted on a permission that had run out meanwhile.
    @Test
    void refusesAKeyThatWasWithdrawnWhileTheEntryWasPaused() throws Exception {
        cluster.configure(2, List.of(PlatformCluster.KEY, "key-2"));
        Await.until("key-2 is known", END_MS, () -> status("e1", "GET", "", "", "key-2") == OK);
        Daemon entry = cluster.daemon("e1");

        entry.freeze();
        cluster.configure(3, List.of(PlatformCluster.KEY));
        Thread.sleep(LONG_PAUSE_MS);
        entry.thaw();

        for (int i = 0; i < 20; i++) {
            assertThat(status("e1", "GET", "", "", "key-2")).isIn(401, NOT_RUN);
        }
        Await.until("its own key opens e1 again", END_MS, () -> status("e1", "GET", "", "", PlatformCluster.KEY) == OK);
    }

    // After an answer was lost, work ran again, or the caller was told that it had not run.
    @Test
    void tellsTheTruthAboutJobsWhoseStoringWasNotAnswered() throws Exception {
        String body = "{\"specification\":\"work=100\",\"steps\":" + ONE_TASK + "}";
        List<String> refused = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String id = PlatformCluster.id(20 + i);
            cluster.store().loseAnswers(1, i % 2 == 0 ? 0 : 700);
            int status = status("e1", "POST", id, body, PlatformCluster.KEY);
            if (status == NOT_RUN) {
                refused.add(id);
                continue;
            }
            cluster.submit(id, "work=100", ONE_TASK);
            cluster.awaitState(id, "completed", END_MS);
            assertThat(cluster.record().starts(id + ".0.0.0")).isEqualTo(1);
        }
        // Every other job has run by now, so one of these would have as well.
        for (String id : refused) {
            assertThat(cluster.record().starts(id + ".0.0.0")).as(id).isZero();
        }
        assertThat(cluster.record().violations()).isEmpty();
    }

    private static void sendBytes(String address, byte[] bytes) throws IOException {
        String[] at = address.split(":");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(at[0], Integer.parseInt(at[1])), CONNECT_TIMEOUT_MS);
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
        } catch (IOException e) {
            // The process may close the connection first, which is an answer as well.
            assertThat(e).hasMessageMatching("(?i).*(reset|broken pipe|closed).*");
        }
    }

    private static void post(String address, String path, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
    }

    private static List<String> addresses(Daemon daemon) throws IOException {
        return daemon.settings().stream()
                .filter(l -> l.startsWith("listen-addresses."))
                .map(l -> l.substring(l.indexOf('=') + 1))
                .toList();
    }

    // One malformed message or unexpected error took a whole process down.
    @Test
    void outlivesInputThatIsNoMessage() throws Exception {
        Random random = new Random(5);
        byte[] noise = new byte[4_000];
        random.nextBytes(noise);
        List<String> names = new ArrayList<>(cluster.agents());
        names.addAll(cluster.entries());
        for (String name : names) {
            for (String address : addresses(cluster.daemon(name))) {
                sendBytes(address, noise);
                sendBytes(
                        address,
                        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999\r\n\r\n{"
                                .getBytes(StandardCharsets.UTF_8));
                post(address, "/Instances.Heartbeat/i-a1", "{\"service\":{},\"capacity\":[7],\"sequence\":\"x\"}");
                post(address, "/Instances.Heartbeat/", "[]");
                post(address, "/jobs/" + PlatformCluster.id(30), "{\"steps\":[{\"count\":-1,\"after\":[9]}]}");
            }
        }
        byte[] wrongType = "{\"routes\":7,\"version\":\"x\"}".getBytes(StandardCharsets.UTF_8);
        for (String table : List.of(Tables.JOBS, Tables.CANCELS, Tables.WORKERS, Tables.PROGRESS, Tables.LEADER)) {
            cluster.store().put(table, Tables.partitionOf(table, "x"), "x", noise);
            cluster.store().put(table, Tables.partitionOf(table, "y"), "y", wrongType);
        }
        cluster.store().put("op", "config", wrongType);
        cluster.store().put("op", "other", noise);

        String id = PlatformCluster.id(31);
        cluster.submit(id, "work=100", ONE_TASK);
        cluster.awaitState(id, "completed", END_MS);
        leader().kill();
        String after = PlatformCluster.id(32);
        cluster.submit(after, "work=100", ONE_TASK);
        cluster.awaitState(after, "completed", END_MS);
        assertThat(names.stream().filter(n -> !cluster.daemon(n).alive())).hasSizeLessThanOrEqualTo(1);
        assertThat(cluster.record().violations()).isEmpty();
    }

    // After a restart a server that had left, or a key that had been withdrawn, was in use again.
    @Test
    void usesNeitherADepartedWorkerNorAWithdrawnKeyAfterARestart() throws Exception {
        cluster.configure(2, List.of(PlatformCluster.KEY, "key-2"));
        Await.until("key-2 is known", END_MS, () -> status("e2", "GET", "", "", "key-2") == OK);
        cluster.configure(3, List.of(PlatformCluster.KEY));
        post(addresses(cluster.daemon("a3")).get(0), "/Instances.Deregister/i-a3", "{}");
        cluster.workers().get(2).close();
        cluster.daemon("a3").kill();

        for (String entry : cluster.entries()) {
            cluster.daemon(entry).kill();
        }
        for (String entry : cluster.entries()) {
            cluster.daemon(entry).start();
        }
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            ids.add(PlatformCluster.id(40 + i));
            cluster.submit(ids.get(i), "work=300", "[{\"count\":4,\"gpu\":1}]");
        }

        for (String id : ids) {
            cluster.awaitState(id, "completed", END_MS);
            for (int task = 0; task < 4; task++) {
                assertThat(cluster.record().workers(id + ".0.0." + task)).isNotEqualTo(Set.of("i-a3"));
                assertThat(cluster.record().starts(id + ".0.0." + task)).isEqualTo(1);
            }
        }
        for (String entry : cluster.entries()) {
            Await.until(entry + " refuses key-2", END_MS, () -> status(entry, "GET", "", "", "key-2") == 401);
        }
    }
}
