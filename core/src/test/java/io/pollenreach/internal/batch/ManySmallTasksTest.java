package io.pollenreach.internal.batch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ManySmallTasksTest {
    private static final Resources SMALL = new Resources(10, 10, 0);

    private final SchedulerFixture cluster = new SchedulerFixture();

    private TaskRun[] orderedRuns() {
        return cluster.orders("w1").runs().stream()
                .map(WorkerOrders.OrderedRun::run)
                .toArray(TaskRun[]::new);
    }

    // review/12: one worker was handed hundreds of runs at once
    @Test
    void areHandedToAWorkerAsItShowsThemAtWork() {
        cluster.worker("w1", "r1");
        cluster.submit(Jobs.job("a").step(StepSpec.builder(1_000, SMALL).build()));

        assertThat(orderedRuns()).hasSize(WorkerAllocations.MAX_STARTING);
        cluster.listRuns("w1", orderedRuns());
        assertThat(orderedRuns()).hasSize(2 * WorkerAllocations.MAX_STARTING);
        for (int i = 0; i < 20; i++) {
            cluster.listRuns("w1", orderedRuns());
        }
        assertThat(orderedRuns()).hasSize(WorkerAllocations.MAX_RUNS);
    }

    @Test
    void ofAGangStartTogether() {
        cluster.worker("w1", "r1");
        cluster.submit(Jobs.job("a").step(Jobs.gang(StepSpec.builder(300, SMALL).build())));

        assertThat(orderedRuns()).hasSize(300);
    }
}
