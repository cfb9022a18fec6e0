package io.pollenreach.systemtest;

import io.pollenreach.bench.emulator.EmulatedWorker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tasks that share workers with others, or may only run on some. */
class SharingTest {
    private static final long END_MS = 30_000;
    private static final int TARGET_MS = 100;

    private PlatformCluster cluster;

    @BeforeEach
    void start() throws Exception {
        cluster = PlatformCluster.start("sharing", 1, 2);
    }

    @AfterEach
    void stop() throws Exception {
        cluster.close();
    }

    @Test
    void runsAnAdvisedJobWhereItMayRun() throws Exception {
        String id = PlatformCluster.id(1);
        // Two rounds of tasks: the second one needs new tickets.
        cluster.submitAdvised(id, "work=1200", "[{\"count\":16,\"gpu\":1}]");

        cluster.awaitState(id, "completed", END_MS);

        for (int i = 0; i < 16; i++) {
            assertThat(cluster.record().workers(id + ".0.0." + i)).containsOnly("i-a2");
        }
    }

    @Test
    void slowsFillersUntilTheTasksBesideThemKeepTheirTarget() throws Exception {
        String serving = PlatformCluster.id(2);
        String filling = PlatformCluster.id(3);
        cluster.submit(
                serving,
                "work=1 serves=60",
                "[{\"count\":2,\"gpu\":1,\"long-running\":true,\"target-ms\":" + TARGET_MS + "}]");
        cluster.submit(filling, "work=600000 disturbs=90", "[{\"count\":2,\"cpu\":1000,\"fills\":true}]");

        Await.until("a filler disturbs", END_MS, () -> latencyMs() > TARGET_MS);
        Await.until("the target is kept", END_MS, () -> latencyMs() <= TARGET_MS);

        assertThat(cluster.state(filling)).contains("running");
    }

    private long latencyMs() {
        return cluster.workers().stream()
                .mapToLong(EmulatedWorker::latencyMs)
                .max()
                .orElse(0);
    }
}
