package io.pollenreach.daemon.internal.entry;

import io.pollenreach.ManualClock;
import io.pollenreach.internal.membership.EntryView;
import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.TargetInfo;
import io.pollenreach.internal.wire.TargetKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BlackboardTest {
    private static final String SELF = "10.0.0.1:7100";
    private static final int TARGETS = 20;

    private final EntryView entries = new EntryView(SELF, "setubal", 1);
    private final Blackboard board = new Blackboard(entries, new ManualClock());

    @Test
    void agentThatMovedToAnotherHomeHoldsNoVersionBack() {
        announceAll();
        assertThat(board.lowestAgentVersion(0)).isZero();

        entries.heard("10.0.0.2:7100", "almada", 1, false, 0);
        for (int i = 0; i < TARGETS; i++) {
            if (entries.homeOf(name(i), 0).equals(SELF)) {
                board.agentVersions().confirmed(name(i), 5);
            }
        }

        assertThat(board.lowestAgentVersion(0)).isEqualTo(5);
    }

    @Test
    void agentOfThisHomeHoldsTheVersionBack() {
        announceAll();
        for (int i = 1; i < TARGETS; i++) {
            board.agentVersions().confirmed(name(i), 5);
        }

        assertThat(board.lowestAgentVersion(0)).isZero();
    }

    private void announceAll() {
        for (int i = 0; i < TARGETS; i++) {
            TargetInfo info = new TargetInfo(
                    name(i), 1, 1, TargetKind.WORKER, "", "setubal", "r", "10.1.0." + i + ":1", 8, 0, Load.NONE, false);
            board.targets().announced(info, 0);
            board.agentVersions().confirmed(name(i), 0);
        }
    }

    private static String name(int i) {
        return "worker-" + i;
    }
}
