package io.pollenreach.daemon.internal.agent;

import java.util.List;

import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.services.TaskStatus.State;
import io.pollenreach.internal.gang.GangTimes;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Release;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GangGuardTest {
    /** Leader's silence, part's silence, and a beat and two rounds on the way. */
    private static final long BOUND_MS =
            2 * GangTimes.GANG_TIMEOUT_MS + GangTimes.HEARTBEAT_INTERVAL_MS + 2 * AgentTimes.TICK_MS;

    private static final List<String> GANG = List.of("w1", "w2", "w3");
    private static final AttemptId CUT = Workers.id("shop-a/cut", 1);

    private final Workers workers = new Workers("w1", "w2", "w3");

    private State state(int rank) {
        return workers.runtimes.get(GANG.get(rank)).state("shop-a.cut.1." + rank);
    }

    private int running() {
        int running = 0;
        for (int rank = 0; rank < GANG.size(); rank++) {
            running += state(rank) == State.RUNNING ? 1 : 0;
        }
        return running;
    }

    @Test
    void wholeGangRunsOnWhileAllBeat() {
        workers.runGang(CUT, 8, GANG);
        workers.run(60_000);
        assertThat(running()).isEqualTo(3);
    }

    @Test
    void gangStopsWithinTheBoundWhenOnePartIsCutOff() {
        for (String lost : GANG) {
            Workers w = new Workers("w1", "w2", "w3");
            w.runGang(CUT, 8, GANG);
            w.run(3_000);
            w.rpc.cut.add(lost);
            w.run(BOUND_MS);
            assertThat(w.runtimes.values()).as("cut off: " + lost).allMatch(r -> r.inUse() == 0);
        }
    }

    @Test
    void gangStopsWithinTheBoundWhenOneAgentIsFrozen() {
        for (String frozen : GANG) {
            Workers w = new Workers("w1", "w2", "w3");
            w.runGang(CUT, 8, GANG);
            w.run(3_000);
            w.paused.add(frozen);
            w.run(Math.max(BOUND_MS, AgentTimes.TASK_LEASE_MS + AgentTimes.TICK_MS));
            assertThat(w.runtimes.values()).as("frozen: " + frozen).allMatch(r -> r.inUse() == 0);
        }
    }

    @Test
    void frozenAgentStopsItsPartBeforeItRenewsTheLease() {
        workers.runGang(CUT, 8, GANG);
        workers.run(3_000);
        workers.paused.add("w2");
        workers.run(2_000);
        FakeRuntime runtime = workers.runtimes.get("w2");
        runtime.log.clear();
        workers.paused.clear();
        workers.run(AgentTimes.TICK_MS);
        assertThat(runtime.log).containsExactly("stop shop-a.cut.1.1 0");
        assertThat(state(1)).isEqualTo(State.STOPPED);
    }

    @Test
    void pausedAgentStartsNothingThatWaitedInItsBuffers() {
        AttemptId alone = Workers.id("shop-b/scan", 1);
        workers.reserve("w2", alone, 0, 8).join();
        // The entry gave the attempt up while the agent was paused; its calls are delivered before any round runs.
        workers.clock.advanceMs(10_000);
        assertThat(Workers.codeOf(workers.prepare("w2", alone, 0, List.of("w2"))))
                .isNotEqualTo(ResultCode.OK);
        assertThat(Workers.codeOf(workers.send("w2", new Release(alone, 0)))).isNotEqualTo(ResultCode.OK);
        assertThat(workers.runtimes.get("w2").log).isEmpty();
    }

    @Test
    void pausedAgentDoesNotReleaseAPartThatItPreparedLongAgo() {
        AttemptId alone = Workers.id("shop-b/scan", 1);
        workers.reserve("w2", alone, 0, 8).join();
        workers.prepare("w2", alone, 0, List.of("w2")).join();
        workers.clock.advanceMs(GangTimes.PREPARED_TTL_MS + 1);
        workers.runtimes.get("w2").log.clear();
        assertThat(Workers.codeOf(workers.send("w2", new Release(alone, 0)))).isEqualTo(ResultCode.STALE_ATTEMPT);
        assertThat(workers.runtimes.get("w2").log).containsExactly("stop shop-b.scan.1.0 0");
    }

    @Test
    void gangStopsWhenARuntimeTakesNoRenewals() {
        workers.runGang(CUT, 8, GANG);
        workers.run(3_000);
        workers.runtimes.get("w2").failsAllCalls = true;
        workers.run(AgentTimes.TASK_LEASE_MS + AgentTimes.RENEW_MS + BOUND_MS);
        assertThat(running()).isZero();
    }

    @Test
    void failedPartStopsTheOthers() {
        workers.runGang(CUT, 8, GANG);
        workers.run(3_000);
        workers.runtimes.get("w3").finish("shop-a.cut.1.2", State.FAILED);
        workers.run(AgentTimes.POLL_MS
                + GangTimes.HEARTBEAT_INTERVAL_MS
                + GangTimes.GANG_TIMEOUT_MS
                + 5 * AgentTimes.TICK_MS);
        assertThat(running()).isZero();
    }

    @Test
    void partThatSucceedsDoesNotStopTheOthers() {
        workers.runGang(CUT, 8, GANG);
        workers.run(3_000);
        workers.runtimes.get("w1").finish("shop-a.cut.1.0", State.SUCCEEDED);
        workers.run(20_000);
        assertThat(state(1)).isEqualTo(State.RUNNING);
        assertThat(state(2)).isEqualTo(State.RUNNING);
    }

    @Test
    void restartedLeaderEndsItsGang() {
        workers.runGang(CUT, 8, GANG);
        workers.run(3_000);
        workers.restart("w1");
        workers.run(BOUND_MS);
        assertThat(running()).isZero();
    }

    @Test
    void gangThatIsReleasedOnlyInPartStops() {
        for (int i = 0; i < GANG.size(); i++) {
            workers.reserve(GANG.get(i), CUT, i, 8).join();
            workers.prepare(GANG.get(i), CUT, i, GANG).join();
        }
        workers.send("w2", new Release(CUT, 1)).join();
        workers.run(GangTimes.PREPARED_TTL_MS + BOUND_MS);
        assertThat(workers.runtimes.values()).allMatch(r -> r.inUse() == 0);
    }

    @Test
    void partsOfManyGangsShareOneBeatToTheirLeader() {
        for (int i = 0; i < 4; i++) {
            workers.runGang(Workers.id("shop-a/cut-" + i, 1), 2, List.of("w1", "w2"));
        }
        workers.run(GangTimes.HEARTBEAT_INTERVAL_MS);
        workers.rpc.log.clear();
        workers.run(2 * GangTimes.HEARTBEAT_INTERVAL_MS);
        assertThat(workers.rpc.log).containsExactly("w1 GangHeartbeat", "w1 GangHeartbeat");
    }
}
