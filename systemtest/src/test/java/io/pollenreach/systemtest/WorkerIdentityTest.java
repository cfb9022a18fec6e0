package io.pollenreach.systemtest;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;

import static org.assertj.core.api.Assertions.assertThat;

/** A worker keeps its runs whatever its agent hears of other processes. */
class WorkerIdentityTest {
    private static final long END_MS = 60_000;
    private static final int OK = 200;

    /** The pause between two heartbeats of the platform's workers, in milliseconds. */
    private static final long SILENCE_MS = 1_500;

    private static final String ONE_TASK = "[{\"count\":1,\"gpu\":1}]";
    private static final String JOB = PlatformCluster.id(1);
    private static final String TASK = JOB + ".0.0.0";

    private final HttpClient http = HttpClient.newHttpClient();
    private PlatformCluster cluster;

    @BeforeEach
    void start(TestInfo test) throws Exception {
        cluster = PlatformCluster.start(test.getTestMethod().orElseThrow().getName(), 1, 2);
    }

    @AfterEach
    void stop() throws Exception {
        cluster.close();
    }

    private Daemon agentOfTheOnlyRun() throws Exception {
        cluster.submit(JOB, "work=8000", ONE_TASK);
        Await.until("started", END_MS, () -> cluster.record().starts(TASK) == 1);
        String worker = cluster.record().workers(TASK).iterator().next();
        return cluster.daemon(worker.replace("i-", ""));
    }

    private int heartbeat(Daemon agent, String instance, String service, long bornMs) throws Exception {
        String body =
                "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:1\",\"zone\":\"zone\",\"version\":\"v1\","
                        + "\"slots\":8,\"state\":\"ready\",\"cold-remaining-ms\":0,\"born\":" + bornMs
                        + ",\"clock-ms\":1,\"sequence\":1,\"capacity\":{\"cpu\":32000,\"requested-memory-mb\":65536,\"gpu\":8},"
                        + "\"labels\":[\"a\",\"r1\"]}";
        return post(agent, "/Instances.Heartbeat/" + instance, body);
    }

    private int post(Daemon agent, String path, String body) throws Exception {
        String address = agent.settings().stream()
                .filter(l -> l.startsWith("listen-addresses.control="))
                .findFirst()
                .orElseThrow()
                .replace("listen-addresses.control=", "");
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofSeconds(2))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    /** A machine so slow that an agent is back only after its worker's lease may add a run for each lapsed one. */
    private void assertThatItRanOnce() throws Exception {
        cluster.awaitState(JOB, "completed", END_MS);
        assertThat(cluster.record().starts(TASK)).isEqualTo(1 + cluster.record().lapses(TASK));
        assertThat(cluster.record().violations()).isEmpty();
    }

    // Guards against two runs at once: a heartbeat of a process that is not the agent's worker made the agent give that
    // worker up, and its task started elsewhere while it ran on.
    @Test
    void keepsTheRunOfAWorkerWhoseAgentHearsOfAYoungerProcess() throws Exception {
        Daemon agent = agentOfTheOnlyRun();

        heartbeat(agent, "i-stranger", "no-such-service", System.currentTimeMillis() + 60_000);

        assertThatItRanOnce();
    }

    // Guards against the same after a restart of the agent: a heartbeat that an earlier worker had sent came before the
    // agent had read which worker it had.
    @Test
    void keepsTheRunOfAWorkerWhoseRestartedAgentHearsOfAnEarlierProcessFirst() throws Exception {
        Daemon agent = agentOfTheOnlyRun();

        cluster.workers().forEach(w -> w.setSilent(true));
        agent.kill();
        cluster.store().setRefusing(true);
        agent.start();
        Await.until("the agent listens", END_MS, () -> isTaken(agent));
        cluster.store().setRefusing(false);
        Thread.sleep(SILENCE_MS);
        cluster.workers().forEach(w -> w.setSilent(false));

        assertThatItRanOnce();
    }

    // Guards against two runs at once: a worker that had said that it leaves went on with its runs, since it had no
    // answer,
    // and they started elsewhere.
    @Test
    void keepsTheRunOfAWorkerThatGoesOnAfterItsLeave() throws Exception {
        Daemon agent = agentOfTheOnlyRun();

        post(agent, "/Instances.Deregister/i-" + agent.name(), "{}");

        assertThatItRanOnce();
    }

    @Test
    void startsTheRunOfAWorkerElsewhereOnceItHasLeft() throws Exception {
        Daemon agent = agentOfTheOnlyRun();
        int left = cluster.agents().indexOf(agent.name());

        post(agent, "/Instances.Deregister/i-" + agent.name(), "{}");
        cluster.workers().get(left).close();

        cluster.awaitState(JOB, "completed", END_MS);
        assertThat(cluster.record().starts(TASK)).isEqualTo(2);
        assertThat(cluster.record().violations()).isEmpty();
    }

    // Guards against two runs at once: an agent fell silent, and the runs of its worker started elsewhere as soon as
    // the
    // platform's list of machines lacked the worker, though its lease had seconds to go.
    @Test
    void keepsTheRunOfASilentAgentsWorkerThatTheListOfMachinesLacks() throws Exception {
        Daemon agent = agentOfTheOnlyRun();

        agent.kill();
        cluster.machines().remove("i-" + agent.name());

        cluster.awaitState(JOB, "completed", END_MS);
        assertThat(cluster.record().violations()).isEmpty();
    }

    // Guards against waiting for the lease of a worker that crashed beside its agent: nothing listens at its address.
    @Test
    void startsTheRunOfACrashedWorkerElsewhereOnceItsAddressRefusesConnections() throws Exception {
        Daemon agent = agentOfTheOnlyRun();

        cluster.workers().get(cluster.agents().indexOf(agent.name())).close();

        cluster.awaitState(JOB, "completed", END_MS);
        assertThat(cluster.record().starts(TASK)).isEqualTo(2);
        assertThat(cluster.record().violations()).isEmpty();
        assertThat(agent.log()).contains("event=worker-left instance=i-" + agent.name() + " announced=false");
        assertThat(cluster.daemon("e1").log()).contains("why=process-changed");
    }

    private boolean isTaken(Daemon agent) throws Exception {
        try {
            return heartbeat(agent, "i-earlier", "pool", 1_000) == OK;
        } catch (ConnectException e) {
            return false;
        }
    }
}
