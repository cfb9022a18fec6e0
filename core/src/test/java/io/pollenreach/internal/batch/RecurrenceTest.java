package io.pollenreach.internal.batch;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RecurrenceTest {
    // Guards against tasks that start at once since their due times overflow.
    @Test
    void startsNothingThatIsDueInTheDistantFuture() {
        SchedulerFixture cluster = new SchedulerFixture();
        cluster.worker("w1", "r1");
        cluster.submit(Jobs.job("a").step(Jobs.step(1, 1)).recurring(4, SchedulerFixture.WALL_MS, Long.MAX_VALUE));
        cluster.submit(Jobs.job("b").step(Jobs.step(1, 1)).recurring(2, Long.MAX_VALUE, 1));
        cluster.runPass(200);

        assertThat(cluster.orders("w1").runs())
                .extracting(r -> r.run().task().toString())
                .containsExactly("a.0.0.0");
    }

    @Property
    void dueTimesNeverFall(
            @ForAll long firstMs,
            @ForAll @LongRange(min = 0) long intervalMs,
            @ForAll @IntRange(max = Integer.MAX_VALUE - 1) int occurrence) {
        Recurrence r = new Recurrence(Integer.MAX_VALUE, firstMs, intervalMs);

        assertThat(r.dueMs(occurrence)).isBetween(0L, r.dueMs(occurrence + 1));
        assertThat(r.dueMs(occurrence + 1)).isLessThanOrEqualTo(Recurrence.LATEST_MS);
    }
}
