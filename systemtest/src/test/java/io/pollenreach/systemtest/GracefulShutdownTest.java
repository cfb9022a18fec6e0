package io.pollenreach.systemtest;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.bench.standin.HistoryEvent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** A graceful shutdown cuts off no request in flight. */
@Timeout(60)
class GracefulShutdownTest {
    private static final String WORKSPACE = "shop-a";
    private static final long WAIT_MS = 15_000;
    private static final long DEADLINE_MS = 10_000;
    private static final long WORK_MS = 1_500;
    private static final int REQUESTS = 8;

    @Test
    void entryThatShutsDownAnswersWhatItTook() throws Exception {
        try (Cluster cluster = start("entry-drains", 31)) {
            List<CompletableFuture<CallerReply>> sent = sendAndAwaitStart(cluster);
            cluster.daemon("e1").terminate();
            assertThat(sent.stream().map(CompletableFuture::join)).allMatch(CallerReply::answered);
            assertThat(cluster.daemon("e1").awaitExit(WAIT_MS)).isTrue();
            check(cluster);
        }
    }

    @Test
    void agentThatShutsDownFinishesWhatItsRunnerServes() throws Exception {
        try (Cluster cluster = start("agent-drains", 32)) {
            List<CompletableFuture<CallerReply>> sent = sendAndAwaitStart(cluster);
            cluster.daemon("r1").terminate();
            assertThat(sent.stream().map(CompletableFuture::join)).allMatch(CallerReply::answered);
            assertThat(cluster.daemon("r1").awaitExit(WAIT_MS)).isTrue();
            check(cluster);
        }
    }

    private static Cluster start(String name, long seed) throws Exception {
        Cluster cluster = Cluster.start(name, 2, 0, 2, seed);
        cluster.addWorkspace(WORKSPACE);
        return cluster;
    }

    /** Sends half idempotent and half non-idempotent requests, which fill all slots. */
    private static List<CompletableFuture<CallerReply>> sendAndAwaitStart(Cluster cluster) throws InterruptedException {
        List<CompletableFuture<CallerReply>> sent = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            sent.add(cluster.api()
                    .request(
                            cluster.entry(1),
                            WORKSPACE,
                            Cluster.SERVICE,
                            "scan-" + i,
                            i % 2 == 0,
                            WORK_MS,
                            DEADLINE_MS));
        }
        Await.until(
                "every request runs",
                WAIT_MS,
                () -> cluster.runnerHistories().stream()
                                .filter(e -> e.event() instanceof HistoryEvent.RequestStarted)
                                .count()
                        >= REQUESTS);
        return sent;
    }

    private static void check(Cluster cluster) {
        RequestChecks checks =
                new RequestChecks(cluster.runnerHistories(), cluster.api().replies());
        assertThat(checks.atMostOnce()).isEmpty();
        assertThat(checks.answersMatch()).isEmpty();
    }
}
