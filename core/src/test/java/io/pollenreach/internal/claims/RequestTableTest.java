package io.pollenreach.internal.claims;

import java.util.List;

import io.pollenreach.ManualClock;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestTableTest {
    private final ManualClock clock = new ManualClock();
    private final RequestTable table = new RequestTable(clock, 1, 2, 2);

    @Test
    void startedKeyAndTombstoneExcludeEachOther() {
        assertThat(table.admit("a")).isEqualTo(Admission.STARTED);
        assertThat(table.recordTombstone("a")).isFalse();
        assertThat(table.recordTombstone("b")).isTrue();
        assertThat(table.admit("b")).isEqualTo(Admission.TOMBSTONED);
        assertThat(table.admit("a")).isEqualTo(Admission.ALREADY_STARTED);
    }

    @Test
    void finishedRequestMayRunAgainButGetsNoTombstone() {
        table.admit("a");
        table.finish("a");
        assertThat(table.recordTombstone("a")).isFalse();
        assertThat(table.admit("a")).isEqualTo(Admission.STARTED);
        assertThat(table.finishUnsent("a")).isFalse();
    }

    @Test
    void finishUnsentRecordsTombstone() {
        table.admit("a");
        assertThat(table.finishUnsent("a")).isTrue();
        assertThat(table.admit("a")).isEqualTo(Admission.TOMBSTONED);
    }

    @Test
    void tombstonesExpireAfterTimeToLive() {
        table.recordTombstone("a");
        clock.advanceMs(RequestTable.TOMBSTONE_TTL_MS - 1);
        assertThat(table.admit("a")).isEqualTo(Admission.TOMBSTONED);
        clock.advanceMs(1);
        assertThat(table.tombstones()).isEmpty();
        assertThat(table.admit("a")).isEqualTo(Admission.STARTED);
    }

    @Test
    void noTombstoneIsRecordedBeyondLimitExceptFromPeers() {
        table.recordTombstone("a");
        table.recordTombstone("b");
        assertThat(table.recordTombstone("c")).isFalse();
        assertThat(table.recordTombstone("a")).isTrue();
        assertThat(table.admit("c")).isEqualTo(Admission.STARTED);
        assertThat(table.addPeerTombstones(List.of("d", "c"))).containsExactly("c");
        assertThat(table.admit("e")).isEqualTo(Admission.FULL);
        clock.advanceMs(RequestTable.TOMBSTONE_TTL_MS);
        assertThat(table.admit("e")).isEqualTo(Admission.STARTED);
    }

    @Test
    void droppedRecordOfFinishedRequestBlocksTombstonesUntilExpiry() {
        for (String key : List.of("a", "b", "c")) {
            table.admit(key);
            table.finish(key);
        }
        assertThat(table.recordTombstone("a")).isFalse();
        clock.advanceMs(RequestTable.TOMBSTONE_TTL_MS);
        assertThat(table.recordTombstone("a")).isTrue();
    }
}
