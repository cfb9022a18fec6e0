package io.pollenreach.internal.batch;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Which jobs a caller may see. */
class JobOwnerTest {
    @ParameterizedTest
    @CsvSource({
        "team, q, team, q, true",
        "team, q, team, other, true",
        "team, q, others, q, false",
        "team, q, others, other, false",
        "'', q, '', q, true",
        "'', q, '', other, false",
        "'', q, team, q, true",
        "'', q, team, other, false",
        "team, q, '', q, true",
        "team, q, '', other, false"
    })
    void admitsItsWorkspaceAndOnOpenQueuesTheCallersOfThatQueue(
            String workspace, String queue, String callersWorkspace, String calledQueue, boolean admitted) {
        JobOwner owner = new JobOwner(workspace, queue);

        assertThat(owner.admits(new JobOwner(callersWorkspace, calledQueue))).isEqualTo(admitted);
    }
}
