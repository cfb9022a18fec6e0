package io.pollenreach.internal.batch;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EndedJobsTest {
    private static final int TASKS = 300;
    private static final long KEPT_MS = 1_000;

    private final SchedulerFixture cluster = new SchedulerFixture();

    @BeforeEach
    void cancelALargeJob() {
        cluster.worker("w1", "r1");
        StepSpec step =
                Jobs.gang(StepSpec.builder(TASKS, new Resources(10, 10, 0)).build());
        cluster.submit(Jobs.job("a").step(step));
        cluster.cancel("a");
    }

    // Guards against jobs that are handed in and cancelled by turns, whose tasks took more and more memory.
    @Test
    void keepNoTasks() {
        assertThat(cluster.state().jobs().get("a").phase()).isEqualTo(JobPhase.CANCELLED);
        assertThat(cluster.state().jobs().get("a").tasks()).isEmpty();
    }

    @Test
    void areExpiredWithAllTheirRows() {
        List<String> keys = cluster.state().expired(KEPT_MS, 2 * KEPT_MS).get("a");

        assertThat(keys)
                .containsExactlyInAnyOrderElementsOf(cluster.progressKeys())
                .hasSizeGreaterThan(1);
    }

    @Test
    void areStoppedOnTheirWorkers() {
        assertThat(cluster.orders("w1").runs()).isEmpty();
        assertThat(cluster.orders("w1").stops()).isNotEmpty();

        cluster.end("w1", 1, cluster.orders("w1").stops().get(0).task().toString(), 1, EndKind.STOPPED);
        cluster.listRuns("w1");

        assertThat(cluster.orders("w1").stops()).isEmpty();
    }

    @Test
    void stayEndedAfterATakeOver() {
        SchedulerFixture next = cluster.successor("a");
        next.runPass(200);

        assertThat(next.state().jobs().get("a").phase()).isEqualTo(JobPhase.CANCELLED);
        assertThat(next.orders("w1").runs()).isEmpty();
        assertThat(next.state().expired(KEPT_MS, 2 * KEPT_MS + 200).get("a"))
                .containsExactlyInAnyOrderElementsOf(cluster.progressKeys());
    }
}
