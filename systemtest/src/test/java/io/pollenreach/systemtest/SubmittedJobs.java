package io.pollenreach.systemtest;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.pollenreach.internal.gang.GangTimes;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The jobs that a test has submitted, and the promises that must hold of them.
 *
 * <p>Safe for use by many threads.
 */
final class SubmittedJobs {
    /** What the gang protocol promises, with time for the runtime to be told and for a busy machine. */
    private static final long SKEW_MS = 2 * GangTimes.GANG_TIMEOUT_MS + GangTimes.HEARTBEAT_INTERVAL_MS + 2_500;

    private final Map<String, Integer> partsByJob = new ConcurrentHashMap<>();

    /** Submits a job until an entry takes it. */
    void submit(Cluster cluster, String workspace, String name, int parts, int acceleratorsPerPart, String command)
            throws InterruptedException {
        partsByJob.put(workspace + "/" + name, parts);
        cluster.submit(workspace, name, parts, acceleratorsPerPart, command);
    }

    /** Waits until every job has reached a known end. */
    void awaitEnds(Cluster cluster, long timeoutMs) throws InterruptedException {
        Await.until("every job ends", timeoutMs, () -> new JobChecks(cluster.platformHistory())
                .everyJobEnds(partsByJob.keySet())
                .isEmpty());
    }

    /** Asserts all promises about jobs on the platform's history. */
    void check(Cluster cluster) {
        JobChecks checks = new JobChecks(cluster.platformHistory());
        assertThat(checks.everyJobEnds(partsByJob.keySet())).isEmpty();
        assertThat(checks.transitions()).isEmpty();
        assertThat(checks.oneAttemptAlive()).isEmpty();
        assertThat(checks.workerWithinCapacity(cluster.workers())).isEmpty();
        assertThat(checks.gangAllOrNothing(partsByJob, SKEW_MS)).isEmpty();
    }
}
