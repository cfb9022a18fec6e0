package io.pollenreach.internal.batch;

import java.util.Random;

import io.pollenreach.internal.batch.AnnouncementFilter.Verdict;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AnnouncementFilterTest {
    private static final int STEPS = 60;

    private final AnnouncementFilter<String> filter = new AnnouncementFilter<>("pool", 40);

    @Test
    void acceptsNewerAnnouncementsAndLeavesOutLateOnes() {
        assertThat(filter.take("pool", 41)).isEqualTo(Verdict.ACCEPTED);
        assertThat(filter.take("pool", 44)).isEqualTo(Verdict.ACCEPTED);
        assertThat(filter.take("pool", 42)).isEqualTo(Verdict.LATE);
        assertThat(filter.take("pool", 44)).isEqualTo(Verdict.ACCEPTED);
    }

    // Guards against a worker that one odd announcement takes out of use for good: its high number made all true ones
    // count as late (review/9).
    @Test
    void outlivesAnOddAnnouncementWithAHighNumber() {
        assertThat(filter.take("unknown", 1_000_000)).isEqualTo(Verdict.DOUBTFUL);
        assertThat(filter.take("pool", 41)).isEqualTo(Verdict.ACCEPTED);
        assertThat(filter.take("pool", 1_000_000)).isEqualTo(Verdict.DOUBTFUL);
        assertThat(filter.take("pool", 42)).isEqualTo(Verdict.ACCEPTED);
    }

    @Test
    void correctsAnOddFirstAnnouncement() {
        AnnouncementFilter<String> odd = new AnnouncementFilter<>("unknown", 1_000_000);

        assertThat(odd.take("pool", 41)).isEqualTo(Verdict.DOUBTFUL);
        assertThat(odd.take("pool", 42)).isEqualTo(Verdict.ACCEPTED);
        assertThat(odd.take("pool", 43)).isEqualTo(Verdict.ACCEPTED);
    }

    @Test
    void acceptsAnyNumberAfterARestartOfTheAgent() {
        AnnouncementFilter<String> resumed = new AnnouncementFilter<>("pool", 0);

        assertThat(resumed.take("pool", 500_000)).isEqualTo(Verdict.ACCEPTED);
    }

    @Test
    void followsAProcessThatWasNotHeardForLong() {
        assertThat(filter.take("pool", 2_000)).isEqualTo(Verdict.DOUBTFUL);
        assertThat(filter.take("pool", 2_001)).isEqualTo(Verdict.ACCEPTED);
    }

    @Test
    void takesTheSameOddAnnouncementTwiceForOne() {
        filter.take("unknown", 1_000_000);

        assertThat(filter.take("unknown", 1_000_000)).isEqualTo(Verdict.DOUBTFUL);
    }

    // Whatever single odd announcements come between, each of the process itself is accepted.
    @Property(tries = 300, seed = "9")
    void acceptsEveryTrueAnnouncementBesideSingleOddOnes(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        AnnouncementFilter<String> heard = new AnnouncementFilter<>("pool", 40);
        long sequence = 40;
        for (int i = 0; i < STEPS; i++) {
            if (random.nextBoolean()) {
                boolean named = random.nextBoolean();
                long odd = named ? sequence + AnnouncementFilter.MAX_GAP + 1 + random.nextInt() : random.nextLong();
                takeOdd(heard, named ? "pool" : "unknown" + random.nextInt(3), odd, sequence);
            }
            sequence += 1 + random.nextInt(3);
            assertThat(heard.take("pool", sequence)).as("step %s", i).isEqualTo(Verdict.ACCEPTED);
        }
    }

    private static void takeOdd(AnnouncementFilter<String> heard, String description, long odd, long sequence) {
        boolean plausible =
                description.equals("pool") && odd >= sequence && odd <= sequence + AnnouncementFilter.MAX_GAP;
        if (!plausible) {
            assertThat(heard.take(description, odd)).isNotEqualTo(Verdict.ACCEPTED);
        }
    }
}
