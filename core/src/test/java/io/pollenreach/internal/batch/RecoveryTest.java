package io.pollenreach.internal.batch;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** What becomes of tasks when workers restart and leaders change. */
class RecoveryTest {
    private final SchedulerFixture fixture = new SchedulerFixture();

    // Guards against two runs at once: a worker that restarted under its name carries out orders that its agent had
    // repeated to the process before it, and their tasks were placed elsewhere as soon as the agent had registered it.
    @Test
    void placesTheTasksOfARestartedWorkerOnlyAfterItHasStoppedTheirRuns() {
        TaskRun first = new TaskRun(TaskId.of("a.0.0.0"), 1);
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));
        fixture.worker("w2", "r1");

        fixture.restart("w1", List.of());
        assertThat(fixture.orders("w2").runs()).isEmpty();
        fixture.listRuns("w1", first);
        assertThat(fixture.orders("w1").stops()).containsExactly(first);
        assertThat(fixture.orders("w2").runs()).isEmpty();
        fixture.end("w1", 1, "a.0.0.0", 1, EndKind.STOPPED);

        assertThat(runNumbers()).containsExactly(2);
    }

    @Test
    void placesTheTasksOfARestartedWorkerThatRunsNothing() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));

        fixture.restart("w1", List.of());
        fixture.listRuns("w1");

        assertThat(runNumbers()).containsExactly(2);
    }

    // Guards against two runs at once: an agent registered a process that was not its worker, and gave it up again.
    @Test
    void keepsTheRunsOfAWorkerWhoseAgentRegisteredAnotherProcessThatNeverListedItsRuns() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));
        fixture.worker("w2", "r1");

        fixture.restart("w1", List.of());
        SchedulerFixture next = fixture.successor();
        next.restart("w1", List.of());

        assertThat(next.orders("w2").runs()).isEmpty();
        assertThat(next.orders("w1").runs()).hasSize(1);
    }

    // Guards against a task that runs on after its job was cancelled: the leader had stored that it gave the run
    // up, and had not stored the worker's orders when it stopped.
    @Test
    void stopsARunThatWasGivenUpBeforeItsStopWasStored() {
        TaskRun run = new TaskRun(TaskId.of("a.0.0.0"), 1);
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").priority(2).step(Jobs.step(1, 8)));
        fixture.running("w1", "a.0.0.0", 1, "");
        fixture.storeProgressAlone();
        fixture.submit(Jobs.job("urgent").priority(0).step(Jobs.step(1, 8)));
        assertThat(fixture.progress("a").tasks()).allMatch(t -> t.state() == TaskProgress.State.WAITING);

        SchedulerFixture next = fixture.successor();
        next.cancel("a");

        assertThat(next.orders("w1").runs()).noneMatch(r -> r.run().equals(run));
        assertThat(next.orders("w1").stops()).containsExactly(run);
        next.end("w1", 1, "a.0.0.0", 1, EndKind.STOPPED);
        assertThat(next.orders("w1").runs())
                .extracting(r -> r.run().task().job())
                .containsExactly("urgent");
    }

    private List<Integer> runNumbers() {
        return Stream.of("w1", "w2")
                .flatMap(w -> fixture.orders(w).runs().stream())
                .map(r -> r.run().run())
                .toList();
    }

    // Guards against losing an occurrence for good: progress is stored of placed tasks alone, so a new scheduler knew
    // of
    // the second occurrence but not of the first, which waited for its only permitted worker.
    @Test
    void restoresAnOccurrenceThatWasNotPlacedBeforeALaterOne() {
        fixture.worker("w1", "r1");
        fixture.worker("w2", "r1");
        fixture.submit(Jobs.job("a")
                .advised()
                .recurring(2, SchedulerFixture.WALL_MS, 0)
                .step(Jobs.step(1, 1)));
        AdviceCache advice = fixture.state().advice();
        AdviceCache.Query first = advice.pollQuery(0).orElseThrow();
        assertThat(first.step().occurrence()).isZero();
        advice.recordAdvice(first, Map.of(), 1_000, 0, 0);
        fixture.runPass(0);
        AdviceCache.Query later = advice.pollQuery(0).orElseThrow();
        assertThat(later.step().occurrence()).isEqualTo(1);
        advice.recordAdvice(later, Map.of("w2", "ticket"), 1_000, 0, 0);
        fixture.runPass(10);
        fixture.end("w2", 1, "a.1.0.0", 1, EndKind.DONE);

        SchedulerFixture next = fixture.successor();

        AdviceCache.Query again = next.state().advice().pollQuery(next.nowMs()).orElseThrow();
        assertThat(again.step().occurrence()).isZero();
        next.state().advice().recordAdvice(again, Map.of(), 1_000, 0, 0);
        next.runPass(0);
        assertThat(next.state().advice().pollQuery(next.nowMs())).isEmpty();
        assertThat(next.progress("a").phase()).isEqualTo(JobPhase.RUNNING);
    }

    // Guards against rows that nobody removes: a cancellation that was stored after its job had expired.
    @Test
    void expiresACancellationOfAJobThatNeverCame() {
        fixture.cancel("gone");
        fixture.runPass(1_000);

        assertThat(fixture.state().expired(500, 1_000)).containsOnlyKeys("gone");
        fixture.state().forget("gone", 1_000);

        assertThat(fixture.state().expired(500, 2_000)).isEmpty();
    }

    @Test
    void takesAJobWithTheIdOfAForgottenOneButNotTheForgottenOneAgain() {
        BatchJob job = Jobs.job("a").step(Jobs.step(1, 1)).build();
        SchedulerState state = new SchedulerState((event, pairs) -> {});
        state.accept(job, 5, 0);
        state.cancel("a", 0);
        state.changes();
        state.committed(6);
        state.forget("a", 1_000);

        state.accept(job, 5, 2_000);
        assertThat(state.activeJobs()).isEmpty();
        state.accept(job, 9, 2_000);

        assertThat(state.activeJobs()).hasSize(1);
    }
}
