package io.pollenreach.daemon.internal.entry;

import io.pollenreach.internal.membership.TargetTable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AgentVersionsTest {
    private final AgentVersions versions = new AgentVersions();

    @Test
    void agentThatMovedToAnotherHomeHoldsNoVersionBack() {
        versions.confirmed("worker-1", 0, 0);
        versions.confirmed("worker-2", 0, 0);

        long later = TargetTable.TARGET_SILENCE_MS + 1;
        versions.confirmed("worker-2", 5, later);

        assertThat(versions.lowestAgent(later)).isEqualTo(5);
    }

    @Test
    void agentThatWasHeardLatelyHoldsTheVersionBack() {
        versions.confirmed("worker-1", 3, 0);
        versions.confirmed("worker-2", 5, 0);

        assertThat(versions.lowestAgent(TargetTable.TARGET_SILENCE_MS)).isEqualTo(3);
    }
}
