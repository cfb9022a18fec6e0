package io.pollenreach.systemtest;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.JobState;
import io.pollenreach.ResultCode;
import io.pollenreach.bench.standin.HistoryEvent;
import io.pollenreach.bench.standin.PlatformFaults;
import io.pollenreach.internal.jobs.JobRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** Many jobs that are cancelled at once or meet a worker that fails every start reach a known end. */
@Timeout(90)
class JobWavesTest {
    private static final String WORKSPACE = "shop-a";
    private static final int ACCELERATORS_PER_PART = 4;
    private static final int CANCELLED_JOBS = 20;
    private static final int JOBS = 8;
    private static final long WAIT_MS = 40_000;

    private final SubmittedJobs jobs = new SubmittedJobs();

    @Test
    void waveOfCancellationsWhileAnEntryIsKilled() throws Exception {
        try (Cluster cluster = Cluster.start("wave-cancel", 2, 3, 0, 71)) {
            cluster.addWorkspace(WORKSPACE);
            for (int i = 0; i < CANCELLED_JOBS; i++) {
                submit(cluster, i, i % 3 == 0 ? "hang" : "sleep:60000");
            }
            Await.until(
                    "some jobs run and some wait",
                    WAIT_MS,
                    () -> inState(cluster, JobState.RUNNING) >= 3 && inState(cluster, JobState.WAITING) >= 3);
            List<CompletableFuture<Integer>> answers = cancelAll(cluster);
            cluster.daemon("e1").kill();

            for (CompletableFuture<Integer> answer : answers) {
                assertThat(answer.join()).isEqualTo(200);
            }
            jobs.awaitEnds(cluster, WAIT_MS);
            jobs.check(cluster);
            assertThat(new JobChecks(cluster.platformHistory()).lastRecords().values())
                    .allMatch(r -> r.state() == JobState.CANCELLED && r.code() == ResultCode.CANCELLED.number());
        }
    }

    @Test
    void workerThatFailsEveryStartTakesNoJobWithIt() throws Exception {
        try (Cluster cluster = Cluster.start("fail-starts", 2, 3, 0, 72)) {
            cluster.addWorkspace(WORKSPACE);
            cluster.platform().setFaults(new PlatformFaults(false, 0, 0, 72, "w1", true));
            for (int i = 0; i < JOBS; i++) {
                submit(cluster, i, "sleep:300");
            }
            jobs.awaitEnds(cluster, WAIT_MS);
            jobs.check(cluster);
            assertThat(cluster.platformHistory())
                    .as("the bad worker was tried")
                    .anyMatch(e -> e.event() instanceof HistoryEvent.TaskEnded end
                            && end.worker().equals("w1")
                            && end.state().equals("FAILED"));
            assertThat(new JobChecks(cluster.platformHistory()).lastRecords().values())
                    .allMatch(r -> r.state() == JobState.SUCCEEDED && r.code() == ResultCode.OK.number());
        }
    }

    /** Cancels every job at both entries; returns the answers of the second one. */
    private static List<CompletableFuture<Integer>> cancelAll(Cluster cluster) {
        List<CompletableFuture<Integer>> answers = new ArrayList<>();
        for (int i = 0; i < CANCELLED_JOBS; i++) {
            // The entry that is killed may or may not answer.
            cluster.api().cancel(cluster.entry(1), WORKSPACE, "cut-" + i);
            answers.add(cluster.api().cancel(cluster.entry(2), WORKSPACE, "cut-" + i));
        }
        return answers;
    }

    private void submit(Cluster cluster, int number, String command) throws InterruptedException {
        String name = "cut-" + number;
        int parts = 1 + number % 2;
        jobs.submit(cluster, WORKSPACE, name, parts, ACCELERATORS_PER_PART, command);
    }

    private static long inState(Cluster cluster, JobState state) {
        return new JobChecks(cluster.platformHistory())
                .lastRecords().values().stream()
                        .map(JobRecord::state)
                        .filter(s -> s == state)
                        .count();
    }
}
