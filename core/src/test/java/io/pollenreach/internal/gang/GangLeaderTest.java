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

    private void allHeard(PartState second) {
        leader.heard(ID, 0, PartState.RUNNING);
        leader.heard(ID, 1, second);
    }

    @Test
    void goesOnOnlyOnceEveryPartWasHeard() {
        leader.lead(ID, List.of(0, 1));
        leader.heard(ID, 0, PartState.PREPARED);
        assertThat(leader.mayGoOn(ID)).isFalse();
        leader.heard(ID, 1, PartState.PREPARED);
        assertThat(leader.mayGoOn(ID)).isTrue();
    }

    @Test
    void unknownAttemptMayNotGoOn() {
        assertThat(leader.mayGoOn(ID)).isFalse();
    }

    @Test
    void silentPartCondemnsTheGangForGood() {
        leader.lead(ID, List.of(0, 1));
        allHeard(PartState.RUNNING);
        clock.advanceMs(GangTimes.GANG_SILENCE_MS);
        assertThat(leader.mayGoOn(ID)).isTrue();
        clock.advanceMs(1);
        allHeard(PartState.RUNNING);
        assertThat(leader.mayGoOn(ID)).isFalse();
        assertThat(leader.condemned(ID)).hasValue("rank 0 was silent for 1501 ms");
    }

    @Test
    void failedOrStoppedPartCondemnsTheGang() {
        for (PartState state : List.of(PartState.FAILED, PartState.STOPPED, PartState.STOPPING)) {
            AttemptId id = new AttemptId("shop-a/" + state, 1, "n");
            leader.lead(id, List.of(0, 1));
            leader.heard(id, 0, PartState.RUNNING);
            leader.heard(id, 1, state);
            assertThat(leader.mayGoOn(id)).as(state.name()).isFalse();
        }
    }

    @Test
    void partThatSucceededNeedNotBeHeardAgain() {
        leader.lead(ID, List.of(0, 1));
        allHeard(PartState.SUCCEEDED);
        clock.advanceMs(1_000);
        leader.heard(ID, 0, PartState.RUNNING);
        clock.advanceMs(1_000);
        assertThat(leader.mayGoOn(ID)).isTrue();
    }
}
