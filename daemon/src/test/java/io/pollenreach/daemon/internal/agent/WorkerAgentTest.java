package io.pollenreach.daemon.internal.agent;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.services.TaskStatus.State;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.PartReply;
import io.pollenreach.internal.wire.PartReport;
import io.pollenreach.internal.wire.PartState;
import io.pollenreach.internal.wire.Release;
import io.pollenreach.internal.wire.Reserve;
import io.pollenreach.internal.wire.Stop;
import io.pollenreach.internal.wire.Unreserve;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WorkerAgentTest {
    private static final AttemptId CUT = Workers.id("shop-a/cut", 2);
    private static final AttemptId SCAN = Workers.id("shop-b/scan", 1);
    private static final String CUT_TASK = "shop-a.cut.2.0";
    private static final String SCAN_TASK = "shop-b.scan.1.0";

    private final Workers workers = new Workers("w1");
    private final FakeRuntime runtime = workers.runtimes.get("w1");

    private static PartState stateIn(CompletableFuture<Message> answer) {
        return ((PartReply) answer.getNow(null)).part().state();
    }

    private List<PartReport> reports() {
        return workers.agents.get("w1").parts().changes(0, false).parts();
    }

    private CompletableFuture<Message> reclaim(AttemptId victim, long graceMs) {
        return workers.send("w1", new Reserve(CUT, 0, 8, Workers.TTL_MS, List.of(victim), graceMs));
    }

    @Test
    void reservesPreparesAndReleasesOnce() {
        workers.runGang(CUT, 8, List.of("w1"));
        assertThat(stateIn(workers.send("w1", new Release(CUT, 0)))).isEqualTo(PartState.RUNNING);
        assertThat(runtime.state(CUT_TASK)).isEqualTo(State.RUNNING);
        assertThat(runtime.log).filteredOn(l -> l.startsWith("start")).hasSize(1);
        workers.run(60_000);
        assertThat(runtime.state(CUT_TASK)).isEqualTo(State.RUNNING);
    }

    @Test
    void refusesWhatIsNotFree() {
        workers.reserve("w1", SCAN, 0, 5).join();
        assertThat(Workers.codeOf(workers.reserve("w1", CUT, 0, 4))).isEqualTo(ResultCode.NO_CAPACITY);
        assertThat(Workers.codeOf(workers.reserve("w1", CUT, 0, 3))).isEqualTo(ResultCode.OK);
    }

    @Test
    void reservationLapsesAndCannotBePreparedAfterwards() {
        workers.reserve("w1", SCAN, 0, 8).join();
        workers.clock.advanceMs(Workers.TTL_MS);
        assertThat(Workers.codeOf(workers.prepare("w1", SCAN, 0, List.of("w1"))))
                .isEqualTo(ResultCode.NO_CAPACITY);
        assertThat(Workers.codeOf(workers.reserve("w1", CUT, 0, 8))).isEqualTo(ResultCode.OK);
        assertThat(runtime.log).isEmpty();
    }

    @Test
    void otherNonceOfOneAttemptMustWaitUntilTheFirstIsGivenBack() {
        AttemptId rival = new AttemptId(CUT.job(), CUT.attempt(), "rival");
        workers.reserve("w1", CUT, 0, 4).join();
        assertThat(Workers.codeOf(workers.reserve("w1", rival, 0, 4))).isEqualTo(ResultCode.CONFLICT);
        workers.send("w1", new Unreserve(CUT, 0)).join();
        assertThat(Workers.codeOf(workers.reserve("w1", rival, 0, 4))).isEqualTo(ResultCode.OK);
    }

    @Test
    void olderAttemptIsRefused() {
        workers.reserve("w1", CUT, 0, 1).join();
        assertThat(Workers.codeOf(workers.reserve("w1", Workers.id("shop-a/cut", 1), 0, 1)))
                .isEqualTo(ResultCode.STALE_ATTEMPT);
    }

    @Test
    void stopFencesAnAttemptThatWasNeverSeen() {
        assertThat(stateIn(workers.stop("w1", CUT, 0, 0))).isEqualTo(PartState.STOPPED);
        assertThat(Workers.codeOf(workers.reserve("w1", CUT, 0, 1))).isEqualTo(ResultCode.STALE_ATTEMPT);
        assertThat(Workers.codeOf(workers.prepare("w1", CUT, 0, List.of("w1")))).isEqualTo(ResultCode.STALE_ATTEMPT);
        assertThat(Workers.codeOf(workers.reserve("w1", Workers.id("shop-a/cut", 3), 0, 1)))
                .isEqualTo(ResultCode.OK);
    }

    @Test
    void agentAtTheAddressOfAnotherWorkerConfirmsNoStopOfItsParts() {
        assertThat(Workers.codeOf(workers.send("w1", new Stop(CUT, 0, 0, "w9"))))
                .isEqualTo(ResultCode.UNKNOWN_PART);
        assertThat(stateIn(workers.send("w1", new Stop(CUT, 0, 0, null)))).isEqualTo(PartState.STOPPED);
    }

    @Test
    void stopAnswersOnlyOnceTheTaskHasStopped() {
        runtime.ignoresGracefulStop = true;
        workers.runGang(CUT, 8, List.of("w1"));
        CompletableFuture<Message> stop = workers.stop("w1", CUT, 0, 4_000);
        workers.run(3_900);
        assertThat(stop).isNotDone();
        assertThat(runtime.state(CUT_TASK)).isEqualTo(State.RUNNING);
        workers.run(200);
        assertThat(stateIn(stop)).isEqualTo(PartState.STOPPED);
        assertThat(runtime.state(CUT_TASK)).isEqualTo(State.STOPPED);
    }

    @Test
    void stopDuringPrepareLeavesNoTask() {
        CompletableFuture<Void> creating = new CompletableFuture<>();
        runtime.createHook = creating;
        workers.reserve("w1", CUT, 0, 8).join();
        CompletableFuture<Message> prepare = workers.prepare("w1", CUT, 0, List.of("w1"));
        CompletableFuture<Message> stop = workers.stop("w1", CUT, 0, 0);
        assertThat(stop).isNotDone();
        creating.complete(null);
        assertThat(Workers.codeOf(prepare)).isEqualTo(ResultCode.STALE_ATTEMPT);
        assertThat(stateIn(stop)).isEqualTo(PartState.STOPPED);
        assertThat(runtime.state(CUT_TASK)).isEqualTo(State.STOPPED);
    }

    @Test
    void reclaimIsGrantedAtTheGraceEvenWhenTheVictimDoesNotRespond() {
        runtime.ignoresGracefulStop = true;
        workers.runGang(SCAN, 8, List.of("w1"));
        CompletableFuture<Message> reserve = reclaim(SCAN, 500);
        workers.run(400);
        assertThat(reserve).isNotDone();
        assertThat(runtime.inUse()).isEqualTo(8);
        workers.run(100);
        assertThat(Workers.codeOf(reserve)).isEqualTo(ResultCode.OK);
        assertThat(runtime.inUse()).isZero();
    }

    @Test
    void reclaimStopsOnlyWhatItNeeds() {
        AttemptId other = Workers.id("shop-c/fit", 1);
        workers.runGang(SCAN, 4, List.of("w1"));
        workers.runGang(other, 4, List.of("w1"));
        workers.send("w1", new Reserve(CUT, 0, 4, Workers.TTL_MS, List.of(SCAN, other), 0))
                .join();
        assertThat(runtime.state(SCAN_TASK)).isEqualTo(State.STOPPED);
        assertThat(runtime.state("shop-c.fit.1.0")).isEqualTo(State.RUNNING);
    }

    @Test
    void reclaimThatWouldNotDoStopsNothing() {
        workers.runGang(SCAN, 4, List.of("w1"));
        workers.runGang(Workers.id("shop-c/fit", 1), 4, List.of("w1"));
        assertThat(Workers.codeOf(reclaim(SCAN, 0))).isEqualTo(ResultCode.NO_CAPACITY);
        assertThat(runtime.state(SCAN_TASK)).isEqualTo(State.RUNNING);
    }

    @Test
    void silentRuntimeEndsAStopWhenTheLeaseHasLapsed() {
        workers.runGang(SCAN, 8, List.of("w1"));
        runtime.failsAllCalls = true;
        CompletableFuture<Message> reserve = reclaim(SCAN, 0);
        workers.run(AgentTimes.TASK_LEASE_MS);
        assertThat(reserve).isNotDone();
        workers.run(AgentTimes.LEASE_MARGIN_MS + 2 * AgentTimes.TICK_MS);
        assertThat(Workers.codeOf(reserve)).isEqualTo(ResultCode.OK);
        assertThat(runtime.state(SCAN_TASK)).isEqualTo(State.LAPSED);
    }

    @Test
    void endOfATaskIsReportedUntilItIsSettled() {
        workers.runGang(CUT, 8, List.of("w1"));
        runtime.finish(CUT_TASK, State.SUCCEEDED);
        workers.run(AgentTimes.POLL_MS);
        assertThat(reports()).extracting(PartReport::state).containsExactly(PartState.SUCCEEDED);
        PartReporter parts = workers.agents.get("w1").parts();
        parts.forgetEnded(Long.MAX_VALUE, List.of(SCAN));
        assertThat(reports()).hasSize(1);
        parts.forgetEnded(Long.MAX_VALUE, List.of(CUT));
        assertThat(reports()).isEmpty();
    }

    @Test
    void partThatIsNeverReleasedIsGivenUp() {
        workers.reserve("w1", CUT, 0, 8).join();
        workers.prepare("w1", CUT, 0, List.of("w1")).join();
        workers.run(5_200);
        assertThat(runtime.state(CUT_TASK)).isEqualTo(State.STOPPED);
        assertThat(Workers.codeOf(workers.send("w1", new Release(CUT, 0)))).isEqualTo(ResultCode.STALE_ATTEMPT);
    }

    @Test
    void restartedAgentStopsWhatItFindsBeforeItTakesWork() {
        workers.runGang(CUT, 8, List.of("w1"));
        runtime.failsAllCalls = true;
        workers.restart("w1");
        workers.run(500);
        assertThat(workers.agents.get("w1").ready()).isFalse();
        assertThat(Workers.codeOf(workers.reserve("w1", SCAN, 0, 1))).isEqualTo(ResultCode.NOT_READY);
        runtime.failsAllCalls = false;
        workers.run(500);
        assertThat(workers.agents.get("w1").ready()).isTrue();
        assertThat(runtime.inUse()).isZero();
        assertThat(reports()).isEmpty();
    }

    @Test
    void drainingWorkerRefusesReservationsAndFinishesWhatRuns() {
        workers.runGang(CUT, 8, List.of("w1"));
        CompletableFuture<Void> drained = workers.agents.get("w1").drain();
        assertThat(Workers.codeOf(workers.reserve("w1", SCAN, 0, 1))).isEqualTo(ResultCode.DRAINING);
        workers.run(5_000);
        assertThat(drained).isNotDone();
        runtime.finish(CUT_TASK, State.SUCCEEDED);
        workers.run(AgentTimes.POLL_MS + AgentTimes.TICK_MS);
        assertThat(drained).isDone();
    }
}
