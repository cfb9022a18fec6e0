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
    void partWithoutLeaveIsOverdueAfterTheSilence() {
        member.prepared(KEY);
        assertThat(member.release(KEY)).isTrue();
        clock.advanceMs(GangTimes.GANG_SILENCE_MS);
        assertThat(member.overdue()).isEmpty();
        clock.advanceMs(1);
        assertThat(member.overdue()).containsExactly(new GangMember.Overdue(KEY, GangMember.Reason.NOT_ALLOWED, 1_501));
    }

    @Test
    void leaveCountsFromTheTimeTheBeatWasSent() {
        member.prepared(KEY);
        member.release(KEY);
        clock.advanceMs(1_000);
        long sentMs = clock.nowMs();
        clock.advanceMs(400);
        member.allowed(KEY.id(), sentMs);
        clock.advanceMs(1_101);
        assertThat(member.overdue()).hasSize(1);
    }

    @Test
    void preparedPartCannotBeReleasedLate() {
        member.prepared(KEY);
        clock.advanceMs(GangTimes.PREPARED_TTL_MS + 1);
        assertThat(member.release(KEY)).isFalse();
        assertThat(member.overdue())
                .extracting(GangMember.Overdue::reason)
                .containsExactly(GangMember.Reason.NOT_RELEASED);
    }

    @Test
    void leaveBeforeTheReleaseDoesNotCount() {
        member.prepared(KEY);
        member.allowed(KEY.id(), clock.nowMs());
        clock.advanceMs(GangTimes.PREPARED_TTL_MS + 1);
        assertThat(member.overdue()).hasSize(1);
    }

    @Test
    void removedPartIsNoLongerWatched() {
        member.prepared(KEY);
        member.remove(KEY);
        clock.advanceMs(60_000);
        assertThat(member.overdue()).isEmpty();
        assertThat(member.release(KEY)).isFalse();
    }
}
