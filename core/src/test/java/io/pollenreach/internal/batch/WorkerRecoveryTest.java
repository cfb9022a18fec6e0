package io.pollenreach.internal.batch;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** What becomes of the runs of workers whose stored rows a new scheduler cannot read. */
class WorkerRecoveryTest {
    private static final TaskRun RUN = new TaskRun(TaskId.of("a.0.0.0"), 1);

    private final SchedulerFixture fixture = new SchedulerFixture();

    private void placeOnFirstOfTwoWorkers() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));
        fixture.worker("w2", "r1");
    }

    private static List<TaskRun> runs(SchedulerFixture of, String worker) {
        return of.orders(worker).runs().stream()
                .map(WorkerOrders.OrderedRun::run)
                .toList();
    }

    @Test
    void keepsRunsThatTheAgentListsAgain() {
        placeOnFirstOfTwoWorkers();
        fixture.spoilReport("w1");
        fixture.spoilOrders("w1");

        SchedulerFixture next = fixture.successor();
        next.listRuns("w1", RUN);

        assertThat(runs(next, "w1")).containsExactly(RUN);
        assertThat(next.orders("w1").stops()).isEmpty();
        assertThat(runs(next, "w2")).isEmpty();

        next.end("w1", 1, "a.0.0.0", 1, EndKind.DONE);
        assertThat(next.progress("a").phase()).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void keepsOrderedRunsOfAWorkerWhoseReportAloneCannotBeRead() {
        placeOnFirstOfTwoWorkers();
        fixture.spoilReport("w1");

        SchedulerFixture next = fixture.successor();
        next.running("w1", "a.0.0.0", 1, "");

        assertThat(runs(next, "w1")).containsExactly(RUN);
        assertThat(runs(next, "w2")).isEmpty();
    }

    // Guards against two runs at once: the order of a run that the agent does not list may still be under way.
    @Test
    void placesATaskThatTheAgentDoesNotListOnlyOnceItHasSeenTheStop() {
        placeOnFirstOfTwoWorkers();
        fixture.spoilOrders("w1");

        SchedulerFixture next = fixture.successor();
        next.listRuns("w1");
        assertThat(next.orders("w1").stops()).containsExactly(RUN);
        assertThat(runs(next, "w2")).isEmpty();
        assertThat(next.events()).contains("task-lost");
        next.listRuns("w1");

        assertThat(next.orders("w1").stops()).isEmpty();
        assertThat(List.of(runs(next, "w1"), runs(next, "w2"))).containsOnlyOnce(List.of(new TaskRun(RUN.task(), 2)));
    }

    // Guards against two runs at once: a run that was being stopped stands in no progress, and only in orders.
    @Test
    void placesNoTaskWhoseStoppedRunMayBeActiveOnAWorkerWhoseOrdersCannotBeRead() {
        fixture.state().setGuarantees(Map.of("lab", 8));
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").priority(2).step(Jobs.step(1, 8)));
        fixture.submit(Jobs.job("urgent").priority(0).workspace("lab").step(Jobs.step(1, 8)));
        assertThat(fixture.orders("w1").stops()).containsExactly(RUN);
        fixture.worker("w2", "r1");
        fixture.worker("w3", "r1");
        fixture.spoilOrders("w1");

        SchedulerFixture next = fixture.successor();
        assertThat(runs(next, "w3")).isEmpty();
        next.listRuns("w1", RUN);
        assertThat(next.orders("w1").stops()).containsExactly(RUN);
        assertThat(runs(next, "w3")).isEmpty();
        next.end("w1", 1, "a.0.0.0", 1, EndKind.STOPPED);

        assertThat(List.of(runs(next, "w1"), runs(next, "w3"))).containsOnlyOnce(List.of(new TaskRun(RUN.task(), 2)));
    }

    @Test
    void placesTheTasksOfAnUnreadableWorkerWhoseProcessIsGone() {
        placeOnFirstOfTwoWorkers();
        fixture.spoilReport("w1");
        fixture.spoilOrders("w1");

        SchedulerFixture next = fixture.successor();
        next.detachWorker("w1");

        assertThat(runs(next, "w2")).containsExactly(new TaskRun(RUN.task(), 2));
    }

    @Test
    void keepsTheRunsOfAnUnreadableWorkerWhoseAgentHasOnlyRegisteredIt() {
        placeOnFirstOfTwoWorkers();
        fixture.spoilReport("w1");
        fixture.spoilOrders("w1");

        SchedulerFixture next = fixture.successor();
        next.restart("w1", List.of());

        assertThat(runs(next, "w2")).isEmpty();
    }

    @Test
    void placesNothingOnAWorkerUntilItsRowsCanBeRead() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));
        fixture.spoilOrders("w1");

        SchedulerFixture next = fixture.successor();
        next.submit(Jobs.job("b").step(Jobs.step(1, 1)));
        assertThat(next.progress("b").tasks()).isEmpty();
        next.listRuns("w1", RUN);

        assertThat(runs(next, "w1")).hasSize(2);
    }

    @Test
    void placesNothingOnAWorkerWhoseNewestReportCannotBeRead() {
        fixture.worker("w1", "r1");

        fixture.state().reportUnreadable("w1", Integer.MAX_VALUE, 0);
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));

        assertThat(runs(fixture, "w1")).isEmpty();
    }

    // Guards against noise: tasks of a job that had failed counted as lost in each term after it.
    @Test
    void doesNotCountTheTasksOfAnEndedJobAsLost() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").attempts(1).step(Jobs.step(2, 1)));
        fixture.end("w1", 1, "a.0.0.0", 1, EndKind.FAILED);
        fixture.end("w1", 2, "a.0.0.1", 1, EndKind.STOPPED);
        assertThat(fixture.progress("a").tasks())
                .extracting(ProgressRow.TaskRow::state)
                .contains(TaskProgress.State.PLACED);

        SchedulerFixture next = fixture.successor();

        assertThat(next.events()).doesNotContain("task-lost");
        assertThat(next.progress("a").phase()).isEqualTo(JobPhase.FAILED);
    }
}
