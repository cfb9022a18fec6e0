package io.pollenreach.systemtest;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.bench.standin.HistoryEvent;
import io.pollenreach.bench.standin.PlatformFaults;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** Non-idempotent requests under failures: each runs at most once, and its caller learns the truth. */
@Timeout(90)
class AtMostOnceTest {
    private static final String WORKSPACE = "shop-a";
    private static final long WAIT_MS = 20_000;
    private static final long DEADLINE_MS = 6_000;
    private static final long WORK_MS = 800;
    private static final int REQUESTS = 6;
    private static final int LOST_PERCENT = 40;

    @Test
    void entryIsKilledAfterTheClaimAndTheCallerRetriesElsewhere() throws Exception {
        try (Cluster cluster = start("entry-killed-after-claim", 11)) {
            List<CompletableFuture<CallerReply>> first = send(cluster, 1, WORK_MS);
            Await.until("every request runs", WAIT_MS, () -> started(cluster) == REQUESTS);
            cluster.daemon("e1").kill();
            List<CallerReply> second = join(send(cluster, 2, WORK_MS));
            join(first);

            check(cluster);
            assertThat(second).allMatch(CallerReply::answered);
        }
    }

    @Test
    void answersToTheClaimAreLost() throws Exception {
        try (Cluster cluster = start("claim-answer-lost", 12)) {
            cluster.platform().setFaults(new PlatformFaults(false, 0, LOST_PERCENT, 12, null, false));
            List<CompletableFuture<CallerReply>> first = send(cluster, 1, 50);
            List<CompletableFuture<CallerReply>> second = send(cluster, 2, 50);
            join(first);
            join(second);
            cluster.platform().setFaults(new PlatformFaults(false, 0, 0, 0, null, false));
            join(send(cluster, 2, 50));

            check(cluster);
        }
    }

    @Test
    void agentIsKilledWhileItsRunnerWorks() throws Exception {
        try (Cluster cluster = start("agent-killed", 13)) {
            List<CompletableFuture<CallerReply>> first = send(cluster, 1, WORK_MS);
            Await.until("every request runs", WAIT_MS, () -> started(cluster) == REQUESTS);
            cluster.daemon("r1").kill();
            cluster.daemon("r1").start();
            List<CompletableFuture<CallerReply>> second = send(cluster, 2, WORK_MS);
            join(first);
            join(second);

            check(cluster);
        }
    }

    private static Cluster start(String name, long seed) throws Exception {
        Cluster cluster = Cluster.start(name, 2, 0, 2, seed);
        cluster.addWorkspace(WORKSPACE);
        return cluster;
    }

    private static List<CompletableFuture<CallerReply>> send(Cluster cluster, int entry, long workMs) {
        List<CompletableFuture<CallerReply>> sent = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            sent.add(cluster.api()
                    .request(
                            cluster.entry(entry),
                            WORKSPACE,
                            Cluster.SERVICE,
                            "credit-" + i,
                            false,
                            workMs,
                            DEADLINE_MS));
        }
        return sent;
    }

    private static List<CallerReply> join(List<CompletableFuture<CallerReply>> sent) {
        return sent.stream().map(CompletableFuture::join).toList();
    }

    private static long started(Cluster cluster) {
        return cluster.runnerHistories().stream()
                .filter(e -> e.event() instanceof HistoryEvent.RequestStarted)
                .count();
    }

    private static void check(Cluster cluster) {
        RequestChecks checks =
                new RequestChecks(cluster.runnerHistories(), cluster.api().replies());
        assertThat(checks.atMostOnce()).isEmpty();
        assertThat(checks.refusedNeverRan()).isEmpty();
        assertThat(checks.answersMatch()).isEmpty();
    }
}
