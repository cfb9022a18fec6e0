package io.pollenreach.internal.membership;

import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.TargetInfo;
import io.pollenreach.internal.wire.TargetKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TargetTableTest {
    private final TargetTable table = new TargetTable();

    @Test
    void newestAnnouncementWins() {
        table.announced(target("t", 2, 1), 0);
        assertThat(table.announced(target("t", 1, 9), 0)).isFalse();
        assertThat(table.announced(target("t", 2, 2), 0)).isTrue();
        assertThat(table.find("t")).contains(target("t", 2, 2));
    }

    @Test
    void repeatedAnnouncementDoesNotKeepFrozenTargetUsable() {
        table.announced(target("t", 1, 1), 0);
        table.relayed(target("t", 1, 1), TargetTable.TARGET_SILENCE_MS - 1);
        assertThat(table.usable("t", TargetTable.TARGET_SILENCE_MS - 1)).isTrue();
        assertThat(table.usable(TargetTable.TARGET_SILENCE_MS)).isEmpty();
    }

    @Test
    void leftTargetComesBackOnlyWithNewerAnnouncement() {
        table.announced(target("t", 1, 5), 0);
        assertThat(table.gone("t", true)).isTrue();
        table.relayed(target("t", 1, 5), 0);
        assertThat(table.usable("t", 0)).isFalse();
        table.announced(target("t", 2, 1), 0);
        assertThat(table.usable("t", 0)).isTrue();
    }

    @Test
    void digestHoldsOnlyWhatChangedAndOnlyOwnTargets() {
        table.announced(target("t", 1, 1), 0);
        table.relayed(target("far", 1, 1), 0);
        TargetChanges first = table.changesSince(0);
        assertThat(first.targets()).containsExactly(target("t", 1, 1));
        assertThat(table.changesSince(first.upTo()).targets()).isEmpty();
        table.announced(target("u", 1, 1), 0);
        table.gone("t", true);
        TargetChanges second = table.changesSince(first.upTo());
        assertThat(second.targets()).containsExactly(target("u", 1, 1));
        assertThat(second.gone()).containsExactly("t");
    }

    @Test
    void targetsSilentForLongAreForgotten() {
        table.announced(target("t", 1, 1), 0);
        table.forgetSilent(TargetTable.TARGET_FORGET_MS);
        assertThat(table.find("t")).isEmpty();
    }

    static TargetInfo target(String id, long incarnation, long sequence) {
        return new TargetInfo(
                id, incarnation, sequence, TargetKind.WORKER, "", "z1", "r1", "127.0.0.1:1", 8, 0, Load.NONE, false);
    }
}
