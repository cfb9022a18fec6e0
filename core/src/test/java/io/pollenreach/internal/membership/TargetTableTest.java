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
        table.announced(target("t", 2, 2), 0);
        assertThat(table.find("t")).contains(target("t", 2, 2));
    }

    @Test
    void repeatedAnnouncementDoesNotKeepFrozenTargetUsable() {
        table.announced(target("t", 1, 1), 0);
        table.announced(target("t", 1, 1), TargetTable.TARGET_SILENCE_MS - 1);
        assertThat(table.usable("t", TargetTable.TARGET_SILENCE_MS - 1)).isTrue();
        assertThat(table.usable(TargetTable.TARGET_SILENCE_MS)).isEmpty();
    }

    @Test
    void leftTargetComesBackOnlyWithNewerAnnouncement() {
        table.announced(target("t", 1, 5), 0);
        assertThat(table.left("t", 0)).isTrue();
        table.relayed(target("t", 1, 5), "peer", 0);
        assertThat(table.usable("t", 0)).isFalse();
        table.announced(target("t", 2, 1), 0);
        assertThat(table.usable("t", 0)).isTrue();
    }

    @Test
    void digestHoldsOnlyWhatChangedAndOnlyOwnTargets() {
        table.announced(target("t", 1, 1), 0);
        table.relayed(target("far", 1, 1), "peer", 0);
        TargetChanges first = table.changesSince(0);
        assertThat(first.targets()).containsExactly(target("t", 1, 1));
        assertThat(table.changesSince(first.upTo()).targets()).isEmpty();
        table.announced(target("u", 1, 1), 0);
        table.left("t", 0);
        TargetChanges second = table.changesSince(first.upTo());
        assertThat(second.targets()).containsExactly(target("u", 1, 1));
        assertThat(second.gone()).containsExactly("t");
    }

    @Test
    void targetsSilentForLongAreForgotten() {
        table.announced(target("t", 1, 1), 0);
        table.sweep(TargetTable.TARGET_FORGET_MS);
        assertThat(table.find("t")).isEmpty();
    }

    @Test
    void heartbeatWithoutNewsIsNotPassedOn() {
        table.announced(target("t", 1, 1), 0);
        long upTo = table.changesSince(0).upTo();
        assertThat(table.announced(target("t", 1, 2), 500)).isFalse();
        assertThat(table.changesSince(upTo).targets()).isEmpty();
        assertThat(table.usable("t", 500 + TargetTable.TARGET_SILENCE_MS - 1)).isTrue();
    }

    @Test
    void relayedTargetLivesWithItsHome() {
        table.relayed(target("t", 1, 1), "peer", 0);
        table.homeHeard("peer", 1_000);
        assertThat(table.usable("t", 1_000 + TargetTable.TARGET_SILENCE_MS - 1)).isTrue();
        assertThat(table.usable("t", 1_000 + TargetTable.TARGET_SILENCE_MS)).isFalse();
    }

    @Test
    void silentTargetIsReportedGoneByItsHome() {
        table.announced(target("t", 1, 1), 0);
        long upTo = table.changesSince(0).upTo();
        table.sweep(TargetTable.TARGET_SILENCE_MS);
        assertThat(table.changesSince(upTo).gone()).containsExactly("t");
        assertThat(table.announced(target("t", 1, 2), TargetTable.TARGET_SILENCE_MS + 1))
                .isTrue();
        assertThat(table.changesSince(upTo).targets()).containsExactly(target("t", 1, 2));
    }

    @Test
    void silentTargetIsStillKnownByName() {
        table.announced(target("t", 1, 1), 0);
        table.sweep(TargetTable.TARGET_SILENCE_MS);
        assertThat(table.find("t")).isEmpty();
        assertThat(table.lastKnown("t")).contains(target("t", 1, 1));
    }

    @Test
    void onlyTheHomeCanSayThatTargetHasGone() {
        table.relayed(target("t", 1, 1), "old-home", 0);
        table.relayed(target("t", 1, 2), "new-home", 0);
        assertThat(table.goneAt("t", "old-home", 0)).isFalse();
        assertThat(table.usable("t", 0)).isTrue();
        assertThat(table.goneAt("t", "new-home", 0)).isTrue();
        assertThat(table.usable("t", 0)).isFalse();
    }

    @Test
    void targetIsNotHeardAtTheAddressThatItLeft() {
        table.announced(target("t", 1, 1), 0);
        table.announced(movedTarget(1), 700);
        table.announced(movedTarget(2), 900);
        table.sweep(900 + TargetTable.TARGET_SILENCE_MS);
        assertThat(table.heardMs("t", "127.0.0.1:1")).contains(700L);
        assertThat(table.heardMs("t", "127.0.0.1:2")).contains(900L);
        assertThat(table.heardMs("u", "127.0.0.1:2")).isEmpty();
    }

    private static TargetInfo movedTarget(long sequence) {
        return new TargetInfo(
                "t", 2, sequence, TargetKind.WORKER, "", "z1", "r1", "127.0.0.1:2", 8, 0, Load.NONE, false);
    }

    static TargetInfo target(String id, long incarnation, long sequence) {
        return new TargetInfo(
                id, incarnation, sequence, TargetKind.WORKER, "", "z1", "r1", "127.0.0.1:1", 8, 0, Load.NONE, false);
    }
}
