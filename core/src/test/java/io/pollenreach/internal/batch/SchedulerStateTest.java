package io.pollenreach.internal.batch;

import java.util.List;
import java.util.Map;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class SchedulerStateTest {
    private final SchedulerFixture fixture = new SchedulerFixture();

    @Test
    void placesATaskThatFits() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));

        assertThat(fixture.orders("w1").runs()).hasSize(1);
        assertThat(fixture.progress("a").phase()).isEqualTo(JobPhase.QUEUED);
    }

    @Test
    void neverOrdersMoreThanTheWorkerHolds() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(20, 1)));

        assertThat(fixture.orders("w1").runs()).hasSize(8);
    }

    @Test
    void completesAJobOnceAllItsTasksAreDone() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(2, 1)));

        fixture.end("w1", 1, "a.0.0.0", 1, EndKind.DONE);
        assertThat(fixture.progress("a").phase()).isEqualTo(JobPhase.RUNNING);
        fixture.end("w1", 2, "a.0.0.1", 1, EndKind.DONE);
        assertThat(fixture.progress("a").phase()).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void startsAStepOnlyAfterItsPredecessors() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)).step(Jobs.after(Jobs.step(1, 1), 0)));
        assertThat(fixture.orders("w1").runs()).hasSize(1);

        fixture.end("w1", 1, "a.0.0.0", 1, EndKind.DONE);

        assertThat(fixture.orders("w1").runs())
                .extracting(r -> r.run().task().toString())
                .containsExactly("a.0.1.0");
    }

    @Test
    void keepsTheResourcesOfAStoppedRunUntilTheWorkerReportsItsEnd() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 8)));
        fixture.cancel("a");
        fixture.submit(Jobs.job("b").step(Jobs.step(1, 8)));
        assertThat(fixture.orders("w1").runs()).isEmpty();

        fixture.end("w1", 1, "a.0.0.0", 1, EndKind.STOPPED);

        assertThat(fixture.orders("w1").runs())
                .extracting(r -> r.run().task().job())
                .containsExactly("b");
    }

    @Test
    void incrementsTheRunNumberOnARestart() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));

        fixture.end("w1", 1, "a.0.0.0", 1, EndKind.LAPSED);

        assertThat(fixture.orders("w1").runs()).extracting(r -> r.run().run()).containsExactly(2);
    }

    @Test
    void failsAJobWhoseTaskUsedUpItsAttempts() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").attempts(2).step(Jobs.step(1, 1)));

        fixture.end("w1", 1, "a.0.0.0", 1, EndKind.FAILED);
        fixture.end("w1", 2, "a.0.0.0", 2, EndKind.FAILED);

        assertThat(fixture.progress("a").phase()).isEqualTo(JobPhase.FAILED);
        assertThat(fixture.orders("w1").runs()).isEmpty();
    }

    @Test
    void countsOnlyFailuresAsAttempts() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").attempts(1).step(Jobs.step(1, 1)));

        fixture.end("w1", 1, "a.0.0.0", 1, EndKind.LAPSED);
        fixture.end("w1", 2, "a.0.0.0", 2, EndKind.STOPPED);

        assertThat(fixture.progress("a").phase()).isEqualTo(JobPhase.RUNNING);
    }

    @Test
    void startsAllMembersOfAGangOrNone() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.gang(Jobs.step(2, 8))));
        assertThat(fixture.orders("w1").runs()).isEmpty();

        fixture.worker("w2", "r1");

        assertThat(fixture.orders("w1").runs()).hasSize(1);
        assertThat(fixture.orders("w2").runs()).hasSize(1);
    }

    @Test
    void stopsTheOtherMembersOfAGangAndRestartsAllWithOneRunNumber() {
        fixture.worker("w1", "r1");
        fixture.worker("w2", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.gang(Jobs.step(2, 8))));

        fixture.end("w1", 1, "a.0.0.0", 1, EndKind.FAILED);
        assertThat(fixture.orders("w2").stops()).hasSize(1);
        assertThat(fixture.orders("w1").runs()).isEmpty();
        fixture.end("w2", 1, "a.0.0.1", 1, EndKind.BROKEN);

        assertThat(fixture.orders("w1").runs()).extracting(r -> r.run().run()).containsExactly(2);
        assertThat(fixture.orders("w2").runs()).extracting(r -> r.run().run()).containsExactly(2);
    }

    @Test
    void completesAGangWhenOneMemberIsDone() {
        fixture.worker("w1", "r1");
        fixture.worker("w2", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.gang(Jobs.step(2, 8))));

        fixture.end("w2", 1, "a.0.0.1", 1, EndKind.DONE);

        assertThat(fixture.progress("a").phase()).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void restartsTheTaskOfALostWorkerFromItsCheckpoint() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.checkpointing(Jobs.step(1, 1))));
        fixture.running("w1", "a.0.0.0", 1, "saved-7");
        fixture.markLost("w1");

        fixture.worker("w2", "r1");

        assertThat(fixture.orders("w2").runs())
                .extracting(WorkerOrders.OrderedRun::checkpoint)
                .containsExactly("saved-7");
        assertThat(fixture.orders("w2").runs()).extracting(r -> r.run().run()).containsExactly(2);
    }

    // Guards against a second run after a power failure: the agent had acknowledged the end, and its claim of the
    // restarted worker overwrote the row before the scheduler had read it.
    @Test
    void countsAnEndThatWasStoredBeforeTheWorkerRestarted() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));

        fixture.restart("w1", List.of(SchedulerFixture.end(1, "a.0.0.0", 1, EndKind.DONE)));

        assertThat(fixture.progress("a").phase()).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void reclaimsGuaranteedAcceleratorsFromLessUrgentJobs() {
        fixture.worker("w1", "r1");
        fixture.state().setGuarantees(Map.of("lab", 8));
        fixture.submit(Jobs.job("batch").priority(2).step(Jobs.step(8, 1)));
        fixture.submit(Jobs.job("urgent").priority(0).workspace("lab").step(Jobs.step(1, 4)));

        assertThat(fixture.orders("w1").stops()).hasSize(4);
        for (int i = 0; i < 4; i++) {
            TaskRun stopped = fixture.orders("w1").stops().get(0);
            fixture.end("w1", i + 1, stopped.task().toString(), stopped.run(), EndKind.STOPPED);
        }

        assertThat(fixture.orders("w1").runs())
                .anyMatch(r -> r.run().task().job().equals("urgent"));
    }

    @Test
    void restoresPlacementsFromWhatWasStored() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(2, 1)));

        SchedulerFixture next = fixture.successor();

        assertThat(next.orders("w1").runs()).isEqualTo(fixture.orders("w1").runs());
        next.end("w1", 1, "a.0.0.0", 1, EndKind.DONE);
        next.end("w1", 2, "a.0.0.1", 1, EndKind.DONE);
        assertThat(next.progress("a").phase()).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void opensAnOccurrenceWhenItIsDue() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a")
                .recurring(2, SchedulerFixture.WALL_MS + 1_000, 5_000)
                .step(Jobs.step(1, 1)));
        assertThat(fixture.orders("w1").runs()).isEmpty();

        fixture.runPass(1_000);

        assertThat(fixture.orders("w1").runs())
                .extracting(r -> r.run().task().toString())
                .containsExactly("a.0.0.0");
    }

    @Test
    void retriesATaskOnAnotherWorkerThanTheOneItFailedOn() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));
        fixture.worker("w2", "r1");

        fixture.end("w1", 1, "a.0.0.0", 1, EndKind.FAILED);

        assertThat(fixture.orders("w1").runs()).isEmpty();
        assertThat(fixture.orders("w2").runs()).hasSize(1);
    }

    @Test
    void doesNotPreemptLongRunsForAnUrgentJobBeyondItsGuarantee() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("batch").priority(2).step(Jobs.step(1, 8)));
        fixture.runPass(60_000);
        fixture.submit(Jobs.job("urgent").priority(0).step(Jobs.step(1, 8)));

        assertThat(fixture.orders("w1").stops()).isEmpty();
    }

    @Test
    void preemptsShortRunsForAnUrgentJobBeyondItsGuarantee() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("batch").priority(2).step(Jobs.step(1, 8)));
        fixture.runPass(100);
        fixture.submit(Jobs.job("urgent").priority(0).step(Jobs.step(1, 8)));

        assertThat(fixture.orders("w1").stops()).hasSize(1);
    }

    // Guards against a second run of a task that was done before the order to stop it arrived (seen on workload
    // trouble-2 of rqt-pollen).
    @Test
    void countsTheEndOfAPreemptedRunThatWasDoneBeforeItsStop() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("batch").priority(2).step(Jobs.step(1, 8)));
        fixture.submit(Jobs.job("urgent").priority(0).step(Jobs.step(1, 8)));
        assertThat(fixture.orders("w1").stops()).hasSize(1);

        fixture.end("w1", 1, "batch.0.0.0", 1, EndKind.DONE);

        assertThat(fixture.progress("batch").phase()).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void countsTheFailureOfAPreemptedRun() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("batch").priority(2).attempts(1).step(Jobs.step(1, 8)));
        fixture.submit(Jobs.job("urgent").priority(0).step(Jobs.step(1, 8)));

        fixture.end("w1", 1, "batch.0.0.0", 1, EndKind.FAILED);

        assertThat(fixture.progress("batch").phase()).isEqualTo(JobPhase.FAILED);
    }

    @Test
    void countsOneFailureForAGangOfWhichSeveralMembersFailed() {
        fixture.worker("w1", "r1");
        fixture.worker("w2", "r1");
        fixture.submit(Jobs.job("a").attempts(2).step(Jobs.gang(Jobs.step(2, 8))));

        fixture.end("w1", 1, "a.0.0.0", 1, EndKind.FAILED);
        fixture.end("w2", 1, "a.0.0.1", 1, EndKind.FAILED);

        assertThat(fixture.progress("a").phase()).isEqualTo(JobPhase.RUNNING);
    }

    // Guards against counting one failure twice: the worker restarted before it had seen that the end was
    // recorded, and a new scheduler counted it again, so that a job with two attempts failed after one
    // (hunt-6b4f-7 of ctread).
    @Test
    void countsAFailureOnceThoughARestartedWorkerReportsItAgain() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").priority(2).attempts(2).step(Jobs.step(1, 8)));
        fixture.submit(Jobs.job("urgent").priority(0).step(Jobs.step(1, 8)));
        fixture.end("w1", 1, "a.0.0.0", 1, EndKind.FAILED);
        assertThat(fixture.progress("a").phase()).isEqualTo(JobPhase.RUNNING);

        SchedulerFixture next = fixture.successor();
        next.restart("w1", List.of(SchedulerFixture.end(1, "a.0.0.0", 1, EndKind.FAILED)));

        assertThat(next.progress("a").phase()).isEqualTo(JobPhase.RUNNING);
    }

    // Guards against a task that runs on after its job was cancelled, by 10 s when seen: the job was cancelled
    // while there was no leader, and the next scheduler read the cancellation before it had added the workers
    // (hunt-dd9d-35 of rqt-pollen).
    @Test
    void stopsTheRunsOfAJobThatWasCancelledWhileThereWasNoLeader() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));

        SchedulerFixture next = fixture.successor("a");

        assertThat(next.progress("a").phase()).isEqualTo(JobPhase.CANCELLED);
        assertThat(next.orders("w1").runs()).isEmpty();
        assertThat(next.orders("w1").stops()).hasSize(1);
    }

    // Guards against declaring an agent lost whose worker had left, which wrote two rows without effect (incident
    // inc-2dea).
    @Test
    void doesNotExpectReportsOfAnAgentWithoutAWorker() {
        fixture.worker("w1", "r1");
        fixture.detachWorker("w1");

        assertThat(fixture.state().workers().unresponsive(w -> 1_000, 100_000)).isEmpty();
    }

    @Test
    void appliesAReportOnceThoughItIsReadTwice() {
        fixture.worker("w1", "r1");
        fixture.markLost("w1");

        assertThat(fixture.repeatReport("w1").isEmpty()).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "10001, 0", "1, 1", "1, -1"})
    void refusesInvalidSteps(int tasks, int after) {
        StepSpec first = Jobs.step(1, 1);
        StepSpec second = Jobs.step(tasks, 1);
        Jobs job = Jobs.job("a").step(first).step(after == 0 ? second : Jobs.after(second, after));

        assertThatThrownBy(job::build).isInstanceOfSatisfying(PollenreachException.class, e -> assertThat(e.code())
                .isEqualTo(ResultCode.OUT_OF_RANGE));
    }

    // Guards against starving large tasks: tasks that need a whole worker waited 12 s while small ones took each
    // accelerator that became free (scale-2 of ctread-hosted).
    @Test
    void reservesCapacityForALargeTaskAsItBecomesFree() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("batch").priority(2).step(Jobs.step(20, 1)));
        fixture.submit(Jobs.job("large").priority(1).step(Jobs.step(1, 8)));

        fixture.end("w1", 1, "batch.0.0.0", 1, EndKind.DONE);

        assertThat(fixture.orders("w1").runs()).hasSize(7);
    }

    @Test
    void leavesCapacityThatALargeTaskDoesNotNeedToOthers() {
        fixture.worker("w1", "r1");
        fixture.worker("w2", "r1");
        fixture.submit(Jobs.job("batch").priority(2).step(Jobs.step(20, 1)));
        fixture.submit(Jobs.job("large").priority(1).step(Jobs.step(1, 8)));

        fixture.end("w1", 1, "batch.0.0.0", 1, EndKind.DONE);
        fixture.end("w2", 1, "batch.0.0.8", 1, EndKind.DONE);

        assertThat(fixture.orders("w1").runs().size()
                        + fixture.orders("w2").runs().size())
                .isEqualTo(15);
    }

    @Test
    void interruptsNoMoreTasksOfAStepThanItAllows() {
        fixture.worker("w1", "r1");
        fixture.state().setGuarantees(Map.of("lab", 8));
        StepSpec serving =
                Jobs.step(4, 2).toBuilder().longRunning(true).maxUnavailable(1).build();
        fixture.submit(Jobs.job("serving").priority(2).step(serving));
        for (int i = 0; i < 4; i++) {
            fixture.fullyRunning("w1", "serving.0.0." + i, 1);
        }

        fixture.submit(Jobs.job("urgent").priority(0).workspace("lab").step(Jobs.step(2, 2)));

        assertThat(fixture.orders("w1").stops()).hasSize(1);
    }

    @Test
    void queriesTheAdvisorAndPlacesOnlyOnAllowedWorkers() {
        fixture.worker("w1", "r1");
        fixture.worker("w2", "r1");
        fixture.submit(Jobs.job("a").advised().step(Jobs.step(1, 1)));
        AdviceCache.Query question = fixture.state().advice().pollQuery(0).orElseThrow();
        assertThat(question.workers()).containsExactlyInAnyOrder("w1", "w2");
        assertThat(fixture.state().advice().pollQuery(0)).isEmpty();
        assertThat(fixture.orders("w1").runs()).isEmpty();

        fixture.state().advice().recordAdvice(question, Map.of("w2", "ticket"), 1_000, 0, 0);
        fixture.runPass(10);

        assertThat(fixture.orders("w1").runs()).isEmpty();
        assertThat(fixture.orders("w2").runs()).extracting(r -> r.ticket()).containsExactly("ticket");
    }

    @Test
    void queriesTheAdvisorAgainForAnExpiredTicket() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").advised().step(Jobs.step(1, 1)));
        AdviceCache advice = fixture.state().advice();
        advice.recordAdvice(advice.pollQuery(0).orElseThrow(), Map.of("w1", "old"), 1_000, 0, 0);

        fixture.runPass(1_000);
        assertThat(fixture.orders("w1").runs()).isEmpty();
        advice.recordAdvice(advice.pollQuery(1_000).orElseThrow(), Map.of("w1", "new"), 1_000, 1_000, 1_000);
        fixture.runPass(0);

        assertThat(fixture.orders("w1").runs()).extracting(r -> r.ticket()).containsExactly("new");
    }

    @Test
    void doesNotQueryAgainForAWorkerThatMayNotRunAStep() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").advised().step(Jobs.step(1, 1)));
        AdviceCache advice = fixture.state().advice();
        advice.recordAdvice(advice.pollQuery(0).orElseThrow(), Map.of(), 1_000, 0, 0);

        fixture.runPass(5_000);

        assertThat(advice.pollQuery(5_000)).isEmpty();
    }

    // Guards against wasting attempts on a worker that fails whatever it starts, as each of three urgent jobs did
    // (scale-2 of ctread-hosted).
    @Test
    void avoidsAWorkerThatFailsATaskAtItsStart() {
        fixture.worker("w1", "r1");
        fixture.worker("w2", "r1");
        fixture.submit(Jobs.job("a").attempts(3).step(Jobs.step(1, 8)));
        fixture.end("w1", 1, "a.0.0.0", 1, EndKind.FAILED);
        assertThat(fixture.orders("w2").runs()).hasSize(1);

        fixture.submit(Jobs.job("b").step(Jobs.step(1, 1)));
        assertThat(fixture.orders("w1").runs()).isEmpty();
        fixture.runPass(WorkerChoice.AVOID_MS + 1);

        assertThat(fixture.orders("w1").runs()).hasSize(1);
    }

    @Test
    void doesNotAvoidWorkersForAJobThatFailsAtItsStartOnSeveral() {
        fixture.worker("w1", "r1");
        fixture.worker("w2", "r1");
        fixture.submit(Jobs.job("poison").attempts(4).step(Jobs.step(1, 8)));
        fixture.end("w1", 1, "poison.0.0.0", 1, EndKind.FAILED);
        fixture.end("w2", 1, "poison.0.0.0", 2, EndKind.FAILED);
        fixture.cancel("poison");

        fixture.submit(Jobs.job("sound").step(Jobs.step(1, 8)));

        assertThat(fixture.orders("w2").runs()).hasSize(1);
    }

    @Test
    void placesOnlyOnWorkersWithTheRequiredLabel() {
        fixture.worker("w1", "r1");
        fixture.worker("w2", "r2");
        StepSpec step = Jobs.step(9, 1).toBuilder().requiredLabel("r2").build();
        fixture.submit(Jobs.job("a").step(step));

        assertThat(fixture.orders("w1").runs()).isEmpty();
        assertThat(fixture.orders("w2").runs()).hasSize(8);
    }

    @Test
    void keepsTheLimitOfTasksPerWorker() {
        fixture.worker("w1", "r1");
        fixture.worker("w2", "r1");
        StepSpec step = Jobs.step(6, 1).toBuilder().maxPerWorker(2).build();
        fixture.submit(Jobs.job("a").step(step));

        assertThat(fixture.orders("w1").runs()).hasSize(2);
        assertThat(fixture.orders("w2").runs()).hasSize(2);
    }
}
