package io.pollenreach.systemtest;

import java.util.List;

import io.pollenreach.daemon.internal.process.FatalErrors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** A process ends with any of its threads, and works again once it was started again. */
@Timeout(180)
class LostThreadTest {
    private static final List<String> THREADS_OF_ENTRIES =
            List.of("scheduler", "settings", "log-writer", "ratpack-compute");
    private static final List<String> THREADS_OF_AGENTS =
            List.of("work-agent", "settings", "log-writer", "ratpack-compute");

    private static final String STEPS = "[{\"count\":1,\"cpu\":500,\"requested-memory-mb\":64,\"estimated-ms\":100}]";
    private static final long END_TIMEOUT_MS = 10_000;
    private static final long JOB_TIMEOUT_MS = 30_000;

    // review/11: a process lived on, ready, without the thread that schedules
    @Test
    void entryEndsWithEachOfItsThreads() throws Exception {
        try (PlatformCluster cluster = PlatformCluster.startWithStoppableThreads("lost-threads-entry", 1, 1)) {
            endThreads(cluster, "e1", THREADS_OF_ENTRIES);
        }
    }

    @Test
    void agentEndsWithEachOfItsThreads() throws Exception {
        try (PlatformCluster cluster = PlatformCluster.startWithStoppableThreads("lost-threads-agent", 1, 1)) {
            endThreads(cluster, "a1", THREADS_OF_AGENTS);
        }
    }

    private static void endThreads(PlatformCluster cluster, String name, List<String> threads) throws Exception {
        int job = 0;
        for (String thread : threads) {
            String id = PlatformCluster.id(++job);
            cluster.submit(id, "work=100", STEPS);
            cluster.awaitState(id, "completed", JOB_TIMEOUT_MS);
            Daemon daemon = cluster.daemon(name);
            daemon.stopThread(thread);
            assertThat(daemon.awaitExit(END_TIMEOUT_MS))
                    .as("%s ends without %s", name, thread)
                    .isTrue();
            assertThat(daemon.exitStatus()).as(thread).isEqualTo(FatalErrors.EXIT_STATUS);
            daemon.start();
        }
        String id = PlatformCluster.id(++job);
        cluster.submit(id, "work=100", STEPS);
        cluster.awaitState(id, "completed", JOB_TIMEOUT_MS);
    }
}
