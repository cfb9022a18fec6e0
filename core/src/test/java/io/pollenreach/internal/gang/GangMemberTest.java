package io.pollenreach.internal.gang;

import io.pollenreach.ManualClock;
import io.pollenreach.internal.wire.AttemptId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GangMemberTest {
    private static final PartKey KEY = new PartKey(new AttemptId("shop-a/cut", 1, "n"), 1);

    private final ManualClock clock = new ManualClock();
    private final GangMember member = new GangMember(clock);

    @Test
    void partWithoutPermissionIsOverdueAfterTheTimeout() {
        member.addPrepared(KEY);
        assertThat(member.release(KEY)).isTrue();
        clock.advanceMs(GangTimes.GANG_TIMEOUT_MS);
        assertThat(member.overdue()).isEmpty();
        clock.advanceMs(1);
        assertThat(member.overdue()).containsExactly(new GangMember.Overdue(KEY, GangMember.Reason.NOT_ALLOWED, 1_501));
    }

    @Test
    void permissionCountsFromTheTimeTheHeartbeatWasSent() {
        member.addPrepared(KEY);
        member.release(KEY);
        clock.advanceMs(1_000);
        long sentMs = clock.nowMs();
        clock.advanceMs(400);
        member.recordPermission(KEY.id(), sentMs);
        clock.advanceMs(1_101);
        assertThat(member.overdue()).hasSize(1);
    }

    @Test
    void preparedPartCannotBeReleasedAfterItExpired() {
        member.addPrepared(KEY);
        clock.advanceMs(GangTimes.PREPARED_TTL_MS + 1);
        assertThat(member.release(KEY)).isFalse();
        assertThat(member.overdue())
                .extracting(GangMember.Overdue::reason)
                .containsExactly(GangMember.Reason.NOT_RELEASED);
    }

    @Test
    void permissionBeforeTheReleaseDoesNotCount() {
        member.addPrepared(KEY);
        member.recordPermission(KEY.id(), clock.nowMs());
        clock.advanceMs(GangTimes.PREPARED_TTL_MS + 1);
        assertThat(member.overdue()).hasSize(1);
    }

    @Test
    void removedPartIsNoLongerWatched() {
        member.addPrepared(KEY);
        member.remove(KEY);
        clock.advanceMs(60_000);
        assertThat(member.overdue()).isEmpty();
        assertThat(member.release(KEY)).isFalse();
    }
}
