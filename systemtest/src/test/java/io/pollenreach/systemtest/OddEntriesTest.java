package io.pollenreach.systemtest;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.pollenreach.daemon.internal.store.Tables;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;

import static org.assertj.core.api.Assertions.assertThat;

/** Entries that another writer leaves among ours end no process and stop none from following the others. */
class OddEntriesTest {
    private static final long END_MS = 60_000;
    private static final int DEEP = 10_000;
    private static final String STEPS = "[{\"count\":3,\"gpu\":1}]";

    /** A document that is deeply nested, one with a number too large, one with a port out of range, and others. */
    private static final List<String> ODD = List.of(
            "{\"agent\":" + "[".repeat(DEEP) + "]".repeat(DEEP) + "}",
            "{\"a\":".repeat(DEEP) + "1" + "}".repeat(DEEP),
            "{\"agent\":\"x\",\"incarnation\":\"i\",\"sequence\":" + "9".repeat(400) + "}",
            "{\"agent\":\"x\",\"incarnation\":\"i\",\"bornMs\":1e400,\"capacity\":{\"milliCpu\":1e30}}",
            "{\"service\":\"pool\",\"address\":\"127.0.0.1:99999999\",\"zone\":\"zone\",\"state\":\"ready\",\"born\":"
                    + "9007199254740993,\"sequence\":9007199254740993,\"capacity\":{\"cpu\":1},\"labels\":[]}",
            "{\"agent\":\"x\",\"incarnation\":\"i\",\"instance\":\"i\",\"pool\":\"pool\",\"ordersSeen\":1,"
                    + "\"active\":[{\"run\":{\"task\":\"" + PlatformCluster.id(1) + ".0.-1.0\",\"run\":1}}]}",
            "[]",
            "");

    private PlatformCluster cluster;

    @BeforeEach
    void start(TestInfo test) throws Exception {
        cluster = PlatformCluster.start(test.getTestMethod().orElseThrow().getName(), 2, 2);
    }

    @AfterEach
    void stop() throws Exception {
        cluster.close();
    }

    private void writeOddEntries(String prefix) {
        for (String table :
                List.of(Tables.WORKERS, Tables.JOBS, Tables.CANCELS, Tables.PROGRESS, Tables.LEADER, "op")) {
            for (int i = 0; i < ODD.size(); i++) {
                String key = prefix + i;
                byte[] value = ODD.get(i).getBytes(StandardCharsets.UTF_8);
                cluster.store().put(table, Tables.partitionOf(table, key), key, value);
            }
        }
    }

    private void sendOddHeartbeats() throws Exception {
        for (String agent : cluster.agents()) {
            for (String body : ODD) {
                for (String instance : List.of("i-" + agent, "i-other")) {
                    sendHeartbeat(agent, instance, body);
                }
            }
        }
    }

    private void sendHeartbeat(String agent, String instance, String body) throws Exception {
        String address = cluster.daemon(agent).settings().stream()
                .filter(l -> l.startsWith("listen-addresses.control="))
                .findFirst()
                .orElseThrow()
                .replace("listen-addresses.control=", "");
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + address + "/Instances.Heartbeat/" + instance))
                .timeout(Duration.ofSeconds(5))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
    }

    private void runJobs(int from) throws Exception {
        List<String> ids = new ArrayList<>();
        for (int i = from; i < from + 4; i++) {
            ids.add(PlatformCluster.id(i));
            cluster.submit(PlatformCluster.id(i), "work=300", STEPS);
        }
        for (String id : ids) {
            cluster.awaitState(id, "completed", END_MS);
        }
    }

    @Test
    void schedulesOnBesideOddEntriesAndAfterARestartOfAll() throws Exception {
        writeOddEntries("a-");
        runJobs(1);
        sendOddHeartbeats();
        writeOddEntries("z-");
        runJobs(10);
        List<String> all = new ArrayList<>(cluster.agents());
        all.addAll(cluster.entries());
        assertThat(all).allMatch(name -> cluster.daemon(name).alive());

        for (String name : all) {
            cluster.daemon(name).kill();
        }
        for (String name : all) {
            cluster.daemon(name).start();
        }
        runJobs(20);

        assertThat(all).allMatch(name -> cluster.daemon(name).alive());
        assertThat(cluster.record().violations()).isEmpty();
    }

    // Guards against a worker that one heartbeat of another writer takes out of use for good (review/9): a valid one
    // under
    // the name of the worker's process, with a service that does not exist and a high number.
    @Test
    void usesItsWorkersBesideHeartbeatsOfAnUnknownService() throws Exception {
        runJobs(1);
        for (int i = 0; i < cluster.agents().size(); i++) {
            String agent = cluster.agents().get(i);
            String body = "{\"service\":\"unknown\",\"address\":\"127.0.0.1:1\",\"zone\":\"zone\",\"state\":\"ready\","
                    + "\"born\":" + cluster.workers().get(i).bornMs() + ",\"sequence\":1000000,"
                    + "\"capacity\":{\"cpu\":1000,\"requested-memory-mb\":1000,\"gpu\":8},\"labels\":[\"a\"]}";
            sendHeartbeat(agent, "i-" + agent, body);
        }

        runJobs(10);

        assertThat(cluster.record().violations()).isEmpty();
    }
}
