package io.pollenreach.internal.gang;

import java.util.List;

import io.pollenreach.ManualClock;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.PartState;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GangLeaderTest {
    private static final AttemptId ID = new AttemptId("shop-a/cut", 1, "n");

    private final ManualClock clock = new ManualClock();
    private final GangLeader leader = new GangLeader(clock);

    private void bothSendHeartbeats(PartState second) {
        leader.recordHeartbeat(ID, 0, PartState.RUNNING);
        leader.recordHeartbeat(ID, 1, second);
    }

    @Test
    void mayContinueOnceEveryPartHasSentHeartbeat() {
        leader.addGang(ID, List.of(0, 1));
        leader.recordHeartbeat(ID, 0, PartState.PREPARED);
        assertThat(leader.mayContinue(ID)).isFalse();
        leader.recordHeartbeat(ID, 1, PartState.PREPARED);
        assertThat(leader.mayContinue(ID)).isTrue();
    }

    @Test
    void unknownAttemptMayNotContinue() {
        assertThat(leader.mayContinue(ID)).isFalse();
    }

    @Test
    void unresponsivePartStopsTheGangForGood() {
        leader.addGang(ID, List.of(0, 1));
        bothSendHeartbeats(PartState.RUNNING);
        clock.advanceMs(GangTimes.GANG_TIMEOUT_MS);
        assertThat(leader.mayContinue(ID)).isTrue();
        clock.advanceMs(1);
        bothSendHeartbeats(PartState.RUNNING);
        assertThat(leader.mayContinue(ID)).isFalse();
        assertThat(leader.stopCause(ID)).hasValue("rank 0 sent no heartbeat for 1501 ms");
    }

    @Test
    void failedOrStoppedPartStopsTheGang() {
        for (PartState state : List.of(PartState.FAILED, PartState.STOPPED, PartState.STOPPING)) {
            AttemptId id = new AttemptId("shop-a/" + state, 1, "n");
            leader.addGang(id, List.of(0, 1));
            leader.recordHeartbeat(id, 0, PartState.RUNNING);
            leader.recordHeartbeat(id, 1, state);
            assertThat(leader.mayContinue(id)).as(state.name()).isFalse();
        }
    }

    @Test
    void partThatSucceededNeedsNoFurtherHeartbeats() {
        leader.addGang(ID, List.of(0, 1));
        bothSendHeartbeats(PartState.SUCCEEDED);
        clock.advanceMs(1_000);
        leader.recordHeartbeat(ID, 0, PartState.RUNNING);
        clock.advanceMs(1_000);
        assertThat(leader.mayContinue(ID)).isTrue();
    }
}
