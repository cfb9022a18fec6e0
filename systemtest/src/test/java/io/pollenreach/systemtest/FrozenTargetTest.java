package io.pollenreach.systemtest;

import java.util.ArrayList;
import java.util.List;

import io.pollenreach.Clock;
import io.pollenreach.bench.standin.HistoryEvent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** A target whose agent is paused gets no new work after a few seconds. */
@Timeout(60)
class FrozenTargetTest {
    private static final String WORKSPACE = "shop-a";
    /** After this time without heartbeats a target gets no new work, with time for a busy machine. */
    private static final long SILENCE_MS = 5_000;

    private static final long DEADLINE_MS = 5_000;
    private static final int REQUESTS = 10;

    @Test
    void frozenRunnerGetsNoNewRequests() throws Exception {
        try (Cluster cluster = Cluster.start("frozen-runner", 2, 0, 2, 51)) {
            cluster.addWorkspace(WORKSPACE);
            cluster.daemon("r1").freeze();
            Thread.sleep(SILENCE_MS);
            long fromMs = Clock.system().nowMs();
            List<CallerReply> replies = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                replies.add(cluster.api()
                        .request(
                                cluster.entry(1 + i % 2),
                                WORKSPACE,
                                Cluster.SERVICE,
                                "scan-" + i,
                                false,
                                20,
                                DEADLINE_MS)
                        .join());
            }
            cluster.daemon("r1").thaw();

            assertThat(replies).allMatch(CallerReply::answered);
            assertThat(cluster.runner("r1").history(0).entries())
                    .noneMatch(e -> e.event() instanceof HistoryEvent.RequestStarted && e.monotonicMs() >= fromMs);
        }
    }

    @Test
    void frozenWorkerGetsNoNewParts() throws Exception {
        try (Cluster cluster = Cluster.start("frozen-worker", 2, 2, 0, 52)) {
            cluster.addWorkspace(WORKSPACE, 1, Cluster.ACCELERATORS);
            cluster.daemon("w1").freeze();
            Thread.sleep(SILENCE_MS);
            List<String> jobs = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                cluster.submit(WORKSPACE, "cut-" + i, 1, Cluster.ACCELERATORS, "sleep:200");
                jobs.add(WORKSPACE + "/cut-" + i);
            }
            Await.until("every job ends", 20_000, () -> new JobChecks(cluster.platformHistory())
                    .everyJobEnds(jobs)
                    .isEmpty());
            assertThat(TaskRun.of(cluster.platformHistory()))
                    .extracting(TaskRun::worker)
                    .containsOnly("w2");
        }
    }
}
