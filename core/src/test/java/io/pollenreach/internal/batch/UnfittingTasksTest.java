package io.pollenreach.internal.batch;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tasks that fit on no worker for good, beside tasks that last and tasks of several workspaces that can be done. */
class UnfittingTasksTest {
    private static final int ACCELERATORS = 8;

    private final SchedulerFixture fixture = new SchedulerFixture();

    /** Two workers with a task of two accelerators each that lasts, and a job whose tasks need a whole worker each. */
    @BeforeEach
    void startLastingTasksAndSubmitAnUnfittingJob() {
        fixture.worker("w1", "r1");
        fixture.worker("w2", "r1");
        fixture.submit(Jobs.job("lasting")
                .step(Jobs.step(2, 2).toBuilder()
                        .longRunning(true)
                        .maxPerWorker(1)
                        .build()));
        fixture.submit(Jobs.job("unfitting").step(Jobs.step(2, ACCELERATORS)));
    }

    private long runsOf(String job) {
        return List.of("w1", "w2").stream()
                .flatMap(w -> fixture.orders(w).runs().stream())
                .filter(r -> r.run().task().job().equals(job))
                .count();
    }

    // Guards against a job that can't be done and keeps all free capacity from the jobs that come after it: its tasks
    // claimed the workers on which nothing was expected to end.
    @Test
    void leaveFreeCapacityToJobsThatComeAfterThem() {
        fixture.submit(Jobs.job("small").priority(2).workspace("lab").step(Jobs.step(10, 1)));

        assertThat(runsOf("small")).isEqualTo(10);
        assertThat(runsOf("unfitting")).isZero();
        assertThat(runsOf("lasting")).isEqualTo(2);
    }

    @Test
    void doNotKeepALargeJobThatCanBeDoneFromItsClaim() {
        fixture.submit(Jobs.job("small").priority(2).workspace("lab").step(Jobs.step(40, 1)));
        fixture.submit(Jobs.job("large").priority(1).workspace("shop").step(Jobs.step(1, 4)));
        assertThat(runsOf("large")).isZero();

        for (int i = 1; i <= 4; i++) {
            String ended = firstRunOf("small", "w1").task().toString();
            fixture.end("w1", i, ended, 1, EndKind.DONE);
            ended = firstRunOf("small", "w2").task().toString();
            fixture.end("w2", i, ended, 1, EndKind.DONE);
        }

        assertThat(runsOf("large")).isEqualTo(1);
        assertThat(runsOf("small")).isGreaterThan(0);
    }

    @Test
    void doNotKeepAWorkspaceFromItsGuarantee() {
        fixture.state().setGuarantees(Map.of("lab", 4));
        fixture.submit(Jobs.job("small").priority(2).workspace("shop").step(Jobs.step(12, 1)));
        fixture.submit(Jobs.job("urgent").priority(0).workspace("lab").step(Jobs.step(1, 4)));

        for (String w : List.of("w1", "w2")) {
            long number = 0;
            for (TaskRun stopped : fixture.orders(w).stops()) {
                fixture.end(w, ++number, stopped.task().toString(), stopped.run(), EndKind.STOPPED);
            }
        }

        assertThat(runsOf("urgent")).isEqualTo(1);
        assertThat(runsOf("lasting")).isEqualTo(2);
    }

    private TaskRun firstRunOf(String job, String worker) {
        return fixture.orders(worker).runs().stream()
                .map(WorkerOrders.OrderedRun::run)
                .filter(r -> r.task().job().equals(job))
                .findFirst()
                .orElseThrow();
    }
}
