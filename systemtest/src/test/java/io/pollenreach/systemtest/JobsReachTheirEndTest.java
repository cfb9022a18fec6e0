package io.pollenreach.systemtest;

import java.util.Random;

import io.pollenreach.bench.link.LinkFaults;
import io.pollenreach.bench.standin.PlatformFaults;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** Jobs under failures: each reaches its end, and its parts run together or not at all. */
@Timeout(120)
class JobsReachTheirEndTest {
    private static final String WORKSPACE = "shop-a";
    private static final int WORKERS = 4;
    private static final int JOBS = 10;
    private static final int MAX_PARTS = 3;
    private static final int ACCELERATORS_PER_PART = 4;
    private static final long END_TIMEOUT_MS = 45_000;
    private static final long OUTAGE_MS = 2_000;
    private static final int LOST_PERCENT = 20;
    /** Longer than the silence after which a worker's leases have expired. */
    private static final long LONG_PAUSE_MS = 38_000;

    private final SubmittedJobs jobs = new SubmittedJobs();

    @Test
    void entryIsKilled() throws Exception {
        try (Cluster cluster = start("jobs-entry-killed", 21)) {
            submitJobs(cluster, 21);
            cluster.daemon("e1").kill();
            jobs.awaitEnds(cluster, END_TIMEOUT_MS);
            jobs.check(cluster);
        }
    }

    @Test
    void agentsAreKilledAndStartAgain() throws Exception {
        try (Cluster cluster = start("jobs-agent-killed", 22)) {
            submitJobs(cluster, 22);
            for (String worker : new String[] {"w1", "w2"}) {
                Await.until("a part runs", END_TIMEOUT_MS, () -> running(cluster) > 0);
                cluster.daemon(worker).kill();
                Thread.sleep(500);
                cluster.daemon(worker).start();
            }
            jobs.awaitEnds(cluster, END_TIMEOUT_MS);
            jobs.check(cluster);
        }
    }

    @Test
    void platformIsDownForAWhileAndThenSilent() throws Exception {
        try (Cluster cluster = start("jobs-platform-down", 23)) {
            submitJobs(cluster, 23);
            Await.until("a part runs", END_TIMEOUT_MS, () -> running(cluster) > 0);
            cluster.platform().setFaults(new PlatformFaults(true, 0, 0, 23, null, false));
            Thread.sleep(OUTAGE_MS);
            cluster.platform().setFaults(new PlatformFaults(false, 0, 0, 23, null, false));
            cluster.platformLink().set(LinkFaults.freeze());
            Thread.sleep(OUTAGE_MS);
            cluster.platformLink().set(LinkFaults.NONE);
            jobs.awaitEnds(cluster, END_TIMEOUT_MS);
            jobs.check(cluster);
        }
    }

    @Test
    void agentIsPausedWhileItsPartOfAGangRuns() throws Exception {
        try (Cluster cluster = start("jobs-agent-paused", 25)) {
            jobs.submit(cluster, WORKSPACE, "wide", WORKERS - 1, Cluster.ACCELERATORS, "sleep:4000");
            Await.until("every part runs", END_TIMEOUT_MS, () -> running(cluster) == WORKERS - 1);
            String paused = TaskRun.of(cluster.platformHistory()).get(0).worker();
            cluster.daemon(paused).freeze();
            Await.until("no part runs", END_TIMEOUT_MS, () -> running(cluster) == 0);
            cluster.daemon(paused).thaw();
            jobs.awaitEnds(cluster, END_TIMEOUT_MS);
            jobs.check(cluster);
        }
    }

    @Test
    void answersToWritesAreLost() throws Exception {
        try (Cluster cluster = start("jobs-answers-lost", 24)) {
            cluster.platform().setFaults(new PlatformFaults(false, 0, LOST_PERCENT, 24, null, false));
            submitJobs(cluster, 24);
            jobs.awaitEnds(cluster, END_TIMEOUT_MS);
            jobs.check(cluster);
        }
    }

    @Test
    void entryIsKilledWhileThePlatformIsDown() throws Exception {
        try (Cluster cluster = start("jobs-entry-and-platform", 26)) {
            submitJobs(cluster, 26);
            Await.until("a part runs", END_TIMEOUT_MS, () -> running(cluster) > 0);
            cluster.platform().setFaults(new PlatformFaults(true, 0, 0, 26, null, false));
            cluster.daemon("e1").kill();
            Thread.sleep(OUTAGE_MS);
            cluster.platform().setFaults(new PlatformFaults(false, 0, 0, 26, null, false));
            jobs.awaitEnds(cluster, END_TIMEOUT_MS);
            jobs.check(cluster);
        }
    }

    @Test
    void bothEntriesRestartOneAfterTheOther() throws Exception {
        try (Cluster cluster = start("jobs-entries-restart", 27)) {
            submitJobs(cluster, 27);
            for (String entry : new String[] {"e1", "e2"}) {
                Await.until("a part runs", END_TIMEOUT_MS, () -> running(cluster) > 0);
                cluster.daemon(entry).kill();
                cluster.daemon(entry).start();
                cluster.awaitTargets(WORKERS);
            }
            jobs.awaitEnds(cluster, END_TIMEOUT_MS);
            jobs.check(cluster);
        }
    }

    @Test
    void entryThatWasPausedKeepsTheRunsOfWorkersThatItDidNotHear() throws Exception {
        try (Cluster cluster = start("jobs-entry-paused", 28)) {
            for (int i = 0; i < WORKERS; i++) {
                jobs.submit(cluster, WORKSPACE, "long-" + i, 1, ACCELERATORS_PER_PART, "sleep:120000");
            }
            Await.until("every job runs", END_TIMEOUT_MS, () -> running(cluster) == WORKERS);
            cluster.daemon("e1").freeze();
            Thread.sleep(LONG_PAUSE_MS);
            cluster.daemon("e1").thaw();
            Thread.sleep(OUTAGE_MS);
            assertThat(TaskRun.of(cluster.platformHistory())).hasSize(WORKERS);
            assertThat(running(cluster)).isEqualTo(WORKERS);
        }
    }

    private static Cluster start(String name, long seed) throws Exception {
        Cluster cluster = Cluster.start(name, 2, WORKERS, 0, seed);
        cluster.addWorkspace(WORKSPACE, 2, ACCELERATORS_PER_PART);
        return cluster;
    }

    private void submitJobs(Cluster cluster, long seed) throws InterruptedException {
        Random random = new Random(seed);
        for (int i = 0; i < JOBS; i++) {
            String name = "cut-" + i;
            int parts = 1 + random.nextInt(MAX_PARTS);
            String command = "sleep:" + (500 + random.nextInt(1_500));
            jobs.submit(cluster, WORKSPACE, name, parts, ACCELERATORS_PER_PART, command);
        }
    }

    private static long running(Cluster cluster) {
        return TaskRun.of(cluster.platformHistory()).stream()
                .filter(r -> r.ran() && r.endMs() == TaskRun.NEVER)
                .count();
    }
}
